import * as stream from 'node:stream';
import * as operator from '@tamarackferry/operator';
import * as vitest from 'vitest';

interface ExplainResult {
  readonly code: number;
  readonly lines: readonly string[];
}

function buildLine(ms: number, event: string, fields: object = {}, vm = 'vm1'): string {
  return JSON.stringify({
    ms, vm, event, ...fields,
  });
}

const STARTED = buildLine(2, 'process-started');
const IN_FORCE = buildLine(100, 'configuration-in-force', { version: 7 });

async function runExplain(lines: readonly string[], format: 'text' | 'json' = 'json', id = 'q1'): Promise<ExplainResult> {
  const printed: string[] = [];
  const code = await new operator.commands.ExplainCommand({
    id,
    files: [],
    input: stream.Readable.from([`${lines.join('\n')}\n`]),
    format,
    output: { printLine: (line) => printed.push(line), printError: (line) => printed.push(line) },
  }).run();
  return { code, lines: printed };
}

async function findCause(lines: readonly string[]): Promise<string> {
  const { lines: [printed] } = await runExplain([STARTED, IN_FORCE, ...lines]);
  return (JSON.parse(printed!) as { cause: string }).cause;
}

function buildAttempt(ending: string, fields: object = {}): string {
  return buildLine(1_000, 'attempt-failed', {
    id: 'q1', instance: 'i1', place: 'a', failure: 0.7, ending, ageMs: 900, ...fields,
  });
}

function buildRefusal(reason: string, attempts = 1): string {
  return buildLine(1_000, 'request-refused', {
    id: 'q1', elapsedMs: 900, reason, attempts, waiting: 3, slots: 8, serviceMs: 200,
  });
}

vitest.describe('ExplainCommand', () => {
  vitest.it.each([
    ['silent-instance', [buildRefusal('timed-out'), buildAttempt('cancelled')]],
    ['slow-instance', [buildRefusal('timed-out'), buildAttempt('cancelled', { failure: 0.05 })]],
    ['broken-connection', [buildRefusal('unknown'), buildAttempt('reset')]],
    ['unreachable-instance', [buildAttempt('unsent'), buildRefusal('overloaded')]],
    ['shedding-instances', [buildAttempt('not-run'), buildRefusal('overloaded')]],
    ['full-service', [buildRefusal('overloaded', 0)]],
    ['limited-instances', [buildLine(1_000, 'request-refused', {
      id: 'q1', elapsedMs: 20, reason: 'overloaded', attempts: 0, waiting: 3, slots: 2.4, limited: 5, serviceMs: 200,
    })]],
    ['no-instance', [buildRefusal('no-instance', 0)]],
    ['no-route', [buildRefusal('no-route', 0)]],
    ['starting-vm', [buildRefusal('no-configuration', 0)]],
    ['stopping-vm', [buildRefusal('stopping', 0)]],
    ['failing-instance', [buildLine(1_000, 'request-answered', { id: 'q1', status: 500, attempts: 1 }), buildAttempt('answered', { status: 500 })]],
    ['silent-instance', [buildLine(1_000, 'request-answered', {
      id: 'q1', status: 200, attempts: 2, elapsedMs: 950,
    }), buildAttempt('cancelled')]],
    ['caller-left', [buildLine(1_000, 'request-abandoned', { id: 'q1', elapsedMs: 100, attempts: 0 })]],
  ])('reports the cause %s', async (cause, lines) => {
    vitest.expect(await findCause(lines)).toBe(cause);
  });

  vitest.it('reports caller-left if the caller disconnected before an answer could be expected (guards against blaming the instance)', async () => {
    const answered = [1, 2, 3].map((ms) => buildLine(ms, 'request-answered', { id: `u${ms}`, route: 'r1', elapsedMs: 250 }));
    const buildAbandoned = (elapsedMs: number): string[] => [
      ...answered,
      buildLine(1_000, 'request-abandoned', {
        id: 'q1', route: 'r1', elapsedMs, attempts: 1,
      }),
      buildAttempt('cancelled', { ageMs: elapsedMs }),
    ];
    vitest.expect(await findCause(buildAbandoned(60))).toBe('caller-left');
    vitest.expect(await findCause(buildAbandoned(900))).toBe('silent-instance');
  });

  vitest.it('reports silent-instance if other VMs logged failed attempts at the instance, even if this VM estimated a low failure probability', async () => {
    const others = [1, 2, 3].map((ms) => buildLine(ms, 'attempt-failed', { id: `o${ms}`, instance: 'i1', ending: 'cancelled' }, 'vm2'));
    vitest.expect(await findCause([...others, buildRefusal('timed-out'), buildAttempt('cancelled', { failure: 0.05 })])).toBe('silent-instance');
  });

  vitest.it('does not attribute the configuration of the previous process run to a request of the current run', async () => {
    const { lines } = await runExplain([STARTED, IN_FORCE, buildLine(2, 'process-started'), buildRefusal('no-configuration', 0)]);
    vitest.expect(lines[0]).toContain('the VM had no configuration');
  });

  vitest.it('prints the log lines, skips the prefix of a log collector and counts unreadable lines', async () => {
    const { code, lines } = await runExplain([`12:00:01 host ${buildAttempt('cancelled')}`, 'no line', buildRefusal('timed-out')], 'text');
    vitest.expect(code).toBe(0);
    vitest.expect(lines.map((line) => line.trim().split(/\s+/)[3])).toEqual(vitest.expect.arrayContaining(['attempt-failed', 'request-refused']));
    vitest.expect(lines.at(-1)).toBe('1 lines could not be read');
  });

  vitest.it('exits with 1 if no line has the request id, and reports a file that cannot be read with exit code 2', async () => {
    vitest.expect((await runExplain([STARTED], 'text', 'q9')).code).toBe(1);
    const printed: string[] = [];
    const code = await new operator.commands.ExplainCommand({
      id: 'q1',
      files: ['/missing.log'],
      input: stream.Readable.from([]),
      format: 'text',
      output: { printLine: () => undefined, printError: (line) => printed.push(line) },
    }).run();
    vitest.expect(code).toBe(2);
    vitest.expect(printed).toEqual(['/missing.log: cannot be read']);
  });
});

import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

function createWorld(): proof.worlds.ProofWorld {
  const { plan } = new proof.traces.TraceParser(new proof.traces.DirectoryPresetSource()).parse('deployment small')._unsafeUnwrap();
  return new proof.worlds.ProofWorld({ plan, seed: 1 });
}

function listPromises(check: proof.promises.PromiseCheck): readonly string[] {
  return check.listViolations().map((violation) => violation.promise);
}

vitest.describe('PromiseCheck', () => {
  vitest.it('sees a second run, a run of what was told as not run, and a foreign answer (guards against a blind oracle)', () => {
    const world = createWorld();
    const [service] = world.plan.services;
    const record = world.book.addRecord({
      member: 'club', plan: service!, kind: service!.contract.kinds[1]!, sentAtMs: 0,
    }, 'o1');
    record.setOperationId('vm-01.a.1.o1');
    const machine = world.machines.get('vm-01')!;
    const instance = world.instances.get('orders-01')!;
    const execution = new proof.promises.ExecutionCheck(world);
    const response = new proof.promises.ResponseCheck(world);
    execution.handle({ type: 'run-begun', instance, record });
    execution.handle({ type: 'run-begun', instance, record });
    record.recordRun();
    execution.handle({
      type: 'outcome-told', machine, record, address: { state: 'valid', receivedAtMs: 0, issuer: '' }, outcome: { type: 'not-run', reason: 'overloaded', retryAfterMs: 0 },
    });
    response.handle({
      type: 'outcome-told', machine, record, address: { state: 'valid', receivedAtMs: 0, issuer: '' }, outcome: { type: 'answered', answer: { status: 200, headers: [], body: Buffer.from('o2.') } },
    });
    vitest.expect(listPromises(execution)).toEqual(['P4', 'P3']);
    vitest.expect(listPromises(response)).toEqual(['P2']);
  });

  vitest.it('sees a document that goes back and one that does not spread (guards against a blind oracle)', () => {
    const world = createWorld();
    const check = new proof.promises.ConfigurationCheck(world);
    world.machines.forEach((machine) => machine.start());
    const [first, second] = [...world.machines.values()];
    check.handle({ type: 'document-accepted', machine: first!, reference: { version: 2, digest: 'b' } });
    check.handle({ type: 'document-accepted', machine: second!, reference: { version: 1, digest: 'a' } });
    check.handle({ type: 'tick' });
    world.queue.advanceTo(6_000);
    check.handle({ type: 'tick' });
    vitest.expect(check.listViolations().some((violation) => violation.detail.startsWith('vm-02 has version 1'))).toBe(true);
    check.handle({ type: 'document-accepted', machine: first!, reference: { version: 2, digest: 'a' } });
    vitest.expect(check.listViolations().at(-1)?.detail).toContain('back to 2');
  });
});

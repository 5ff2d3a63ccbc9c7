import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

import * as testDeployment from './TestDeployment.js';

const BINARY = path.resolve(import.meta.dirname, '../../dist/main.js');
const HEADERS = { 'tamarack-member': 'museum', 'tamarack-deadline-ms': '30000' };
const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tamarackferry-entry-'));

interface BinaryRun {
  readonly child: childProcess.ChildProcess;
  readonly output: { stdout: string; stderr: string };
  readonly exit: Promise<number | null>;
}

function startBinary(...args: string[]): BinaryRun {
  const child = childProcess.spawn(process.execPath, [BINARY, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  const output = { stdout: '', stderr: '' };
  child.stdout.on('data', (chunk: Buffer) => {
    output.stdout += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    output.stderr += chunk.toString();
  });
  return {
    child,
    output,
    exit: new Promise((resolve) => {
      child.on('close', resolve);
    }),
  };
}

function writeSettings(name: string, text: string): string {
  const file = path.join(directory, `${name}.toml`);
  fs.writeFileSync(file, text);
  return file;
}

async function waitForPort(run: BinaryRun): Promise<number> {
  await vitest.vi.waitFor(() => vitest.expect(run.output.stdout).toContain('\n'), { timeout: 20_000 });
  return (JSON.parse(run.output.stdout) as { port: number }).port;
}

async function waitForDocument(port: number): Promise<void> {
  await vitest.vi.waitFor(async () => {
    const addresses = await undici.request(`http://127.0.0.1:${port}/-/addresses?service=orders`);
    await addresses.body.dump();
    vitest.expect(addresses.statusCode).toBe(200);
  }, { timeout: 20_000, interval: 50 });
}

vitest.describe('tamarackferry-entry', () => {
  const platform = new standins.platform.PlatformStandin();
  const upstream = new standins.upstreams.UpstreamStandin('orders-1', { serviceTimeMs: 2_500, slots: 100 });
  let platformUrl = '';

  vitest.beforeAll(async () => {
    platformUrl = await platform.listen();
    platform.publishDocument(testDeployment.buildDocument(1));
    platform.publishList([testDeployment.buildInstance(await upstream.listen())]);
  });

  vitest.afterAll(async () => {
    fs.rmSync(directory, { recursive: true });
    await upstream.close();
    await platform.close();
  });

  vitest.it('exits with code 2 and binds no port for an invalid setting (guards against a start with part of the settings)', async () => {
    const run = startBinary('--settings', writeSettings('invalid', testDeployment.formatSettings('VM', platformUrl)));
    vitest.expect(await run.exit).toBe(2);
    vitest.expect(run.output.stderr).toContain('vm: settings line 1: field name: found "VM"');
    vitest.expect(run.output.stdout).toBe('');
  });

  vitest.it.each([
    [['--version'], 0], [['--help'], 0], [[], 2], [['--colour'], 2], [['--settings', '/nowhere.toml'], 2],
  ])('exits with the documented code for the arguments %j (guards against a wrong exit code for scripts)', async (args, code) => {
    vitest.expect(await startBinary(...args).exit).toBe(code);
  });

  vitest.it('exits with code 1 if the port is in use (guards against a process that runs without listening)', async () => {
    const portHolder = net.createServer();
    await new Promise<void>((resolve) => {
      portHolder.listen(0, '127.0.0.1', resolve);
    });
    const { port } = portHolder.address() as net.AddressInfo;
    const settings = testDeployment.formatSettings('vm-1', platformUrl).replace('port = 0', `port = ${port}`);
    const run = startBinary('--settings', writeSettings('port-in-use', settings));
    vitest.expect(await run.exit).toBe(1);
    vitest.expect(run.output.stderr).toContain(`vm: port ${port} cannot be bound`);
    await new Promise((resolve) => {
      portHolder.close(resolve);
    });
  });

  vitest.it('completes all requests after SIGTERM and exits with code 0 (guards against requests aborted by a graceful shutdown)', async () => {
    const run = startBinary('--settings', writeSettings('graceful', testDeployment.formatSettings('vm-1', platformUrl).replace('= 300', '= 2000')));
    const port = await waitForPort(run);
    await waitForDocument(port);
    const outcomes: string[] = [];
    let sentCount = 0;
    // Stops sending after a response with `connection: close`, like a caller that then uses another address.
    const sendUntilConnectionClose = async (): Promise<void> => {
      sentCount += 1;
      const response = await undici.request(`http://127.0.0.1:${port}/orders/status/1`, { headers: HEADERS });
      await response.body.dump();
      outcomes.push(String(response.headers['tamarack-outcome']));
      if (response.headers.connection !== 'close') await sendUntilConnectionClose();
    };
    const load = Array.from({ length: 20 }, sendUntilConnectionClose);
    await vitest.vi.waitFor(() => vitest.expect(outcomes.length).toBeGreaterThan(20), { timeout: 20_000 });
    run.child.kill('SIGTERM');
    await vitest.vi.waitFor(() => vitest.expect(run.output.stderr).toContain('vm: graceful shutdown started'), { timeout: 20_000 });
    // A caller that still has the address cached opens a new connection.
    load.push(sendUntilConnectionClose());
    await Promise.all(load);
    vitest.expect(await run.exit).toBe(0);
    vitest.expect(outcomes).toEqual(Array.from({ length: sentCount }, () => 'answered'));
  });

  vitest.it('exits at once with code 1 after a second signal (guards against a process that cannot be stopped during a graceful shutdown)', async () => {
    const run = startBinary('--settings', writeSettings('twice', testDeployment.formatSettings('vm-1', platformUrl).replace('= 300', '= 600000')));
    await waitForPort(run);
    run.child.kill('SIGTERM');
    await vitest.vi.waitFor(() => vitest.expect(run.output.stderr).toContain('vm: graceful shutdown started'), { timeout: 20_000 });
    run.child.kill('SIGTERM');
    vitest.expect(await run.exit).toBe(1);
  });
});

import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as vitest from 'vitest';

const BINARY = path.resolve(import.meta.dirname, '../dist/main.js');

vitest.describe('stand-ins as processes', () => {
  const children: childProcess.ChildProcess[] = [];

  async function startStandin(...args: string[]): Promise<string> {
    const child = childProcess.spawn(process.execPath, [BINARY, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
    children.push(child);
    const line = await new Promise<string>((resolve) => {
      child.stdout.once('data', (chunk: Buffer) => resolve(chunk.toString()));
    });
    return `http://127.0.0.1:${(JSON.parse(line) as { port: number }).port}`;
  }

  vitest.afterAll(() => children.forEach((child) => child.kill()));

  vitest.it('controls an upstream and counts its runs (guards against a fault that is not injected)', async () => {
    const url = await startStandin('upstream', '--name', 'orders-1', '--mode', 'failing');
    const send = (): Promise<Response> => fetch(`${url}/status`, { headers: { 'tamarack-operation-id': 'one' } });
    vitest.expect((await send()).status).toBe(500);
    vitest.expect((await fetch(`${url}/-/mode`, { method: 'POST', body: 'prompt' })).status).toBe(204);
    vitest.expect(await (await send()).json()).toEqual({ instance: 'orders-1', path: '/status' });
    vitest.expect(await (await fetch(`${url}/-/runs`)).json()).toEqual({ one: 2 });
    vitest.expect((await fetch(`${url}/-/mode`, { method: 'POST', body: 'asleep' })).status).toBe(400);
  });

  vitest.it('publishes, goes stale and down as a platform (guards against a fault that is not injected)', async () => {
    const url = await startStandin('platform');
    const control = (name: string, body: string): Promise<Response> => fetch(`${url}/-/${name}`, { method: 'POST', body });
    await control('configuration', 'one');
    await control('mode', 'stale');
    await control('configuration', 'two');
    await control('configuration', 'three');
    vitest.expect(await (await fetch(`${url}/configuration`)).text()).toBe('one');
    await control('mode', 'serving');
    const read = await fetch(`${url}/configuration`);
    vitest.expect(await read.text()).toBe('three');
    const state = read.headers.get('tamarack-platform-state') ?? '';
    vitest.expect((await fetch(`${url}/configuration?after=${state}&waitMs=10`)).status).toBe(304);
    await control('mode', 'down');
    await vitest.expect(fetch(`${url}/configuration`)).rejects.toThrow();
    vitest.expect(await (await fetch(`${url}/-/calls`)).json()).toMatchObject({ total: 4, pendingWatches: 0 });
  });
});

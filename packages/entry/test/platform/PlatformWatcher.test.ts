import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as standins from '@tamarackferry/standins';
import * as vitest from 'vitest';

import * as recordingMailbox from '../vms/RecordingMailbox.js';
import * as testDeployment from '../vms/TestDeployment.js';

function createWatcher(url: string, vm: core.tasks.Mailbox<core.vms.VmInput>, logLines: string[] = []): entry.platform.PlatformWatcher {
  return new entry.platform.PlatformWatcher({
    source: new entry.platform.HttpPlatformSource(url),
    scheduler: new core.tasks.TaskScheduler(),
    timers: new core.time.SystemTimerService(),
    random: new core.randomness.SeededRandomSource(1),
    vm,
    onStatusChange: (text) => logLines.push(text),
  });
}

vitest.describe('PlatformWatcher', () => {
  vitest.it('keeps one long poll open per value and reads each change at once (guards against changes that are read only by periodic polls)', async () => {
    const platform = new standins.platform.PlatformStandin();
    platform.publishDocument('one');
    const vm = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
    const watcher = createWatcher(await platform.listen(), vm);
    watcher.post({ type: 'platform-mode', mode: 'watch' });
    watcher.start();
    await vm.waitFor('configuration-read');
    await vitest.vi.waitFor(() => vitest.expect(platform.getCalls().pendingWatches).toBe(2), { timeout: 20_000 });
    platform.publishDocument('two');
    vitest.expect((await vm.waitFor('configuration-read', 2)).text).toBe('two');
    platform.publishList([testDeployment.buildInstance(1)]);
    vitest.expect((await vm.waitFor('list-read', 2)).entries.length).toBe(1);
    await watcher.close();
    await platform.close();
  });

  vitest.it('logs one failure while the platform is down and resumes reading when it recovers (guards against a watcher that stops after a failed read)', async () => {
    const platform = new standins.platform.PlatformStandin();
    platform.publishDocument('one');
    platform.setMode('down');
    const vm = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
    const logLines: string[] = [];
    const watcher = createWatcher(await platform.listen(), vm, logLines);
    watcher.start();
    await vm.waitFor('platform-failed', 2);
    platform.setMode('serving');
    vitest.expect((await vm.waitFor('configuration-read')).text).toBe('one');
    vitest.expect(logLines.filter((line) => line.includes('configuration')).map((line) => line.split(':')[0])).toEqual([
      'the configuration cannot be read', 'the configuration can be read again',
    ]);
    await watcher.close();
    await platform.close();
  });

  vitest.it.each([
    ['{"entries":', 'platform-failed'], ['[]', 'platform-failed'], ['{"entries":[{"role":"router"}]}', 'platform-failed'],
    [JSON.stringify({ entries: [{ role: 'router' }, testDeployment.buildInstance(1)] }), 'list-read'],
  ] as const)('given the list %s posts %s (guards against one invalid entry that makes the whole list unusable)', async (text, expected) => {
    const server = http.createServer((_, response) => response.end(text));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const vm = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
    const watcher = createWatcher(`http://127.0.0.1:${(server.address() as net.AddressInfo).port}`, vm);
    watcher.start();
    await vm.waitFor(expected);
    if (expected === 'list-read') vitest.expect(vm.list('list-read')[0]?.entries.length).toBe(1);
    await watcher.close();
    server.close();
  });
});

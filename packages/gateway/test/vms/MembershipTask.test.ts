import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

/** Several VMs under one virtual time whose datagrams arrive at once, unless the receiver is down. */
class TestMembers {
  readonly timers = new core.time.VirtualTimerService();

  readonly down = new Set<string>();

  /** Datagrams that each VM sent, by its name. */
  readonly sent = new Map<string, number>();

  private readonly tasks = new Map<string, gateway.vms.MembershipTask>();

  /**
   * @param names - Names of the VMs; the part before the dash is the place.
   * @param seed - Seed that all know.
   */
  constructor(names: readonly string[], seed = names[0]!) {
    names.forEach((name) => this.startVm(name, seed));
  }

  /**
   * Asks a VM where callers of a place should connect.
   * @param name - Name of the VM.
   * @param place - Place of the caller.
   */
  listFronts(name: string, place: string): readonly string[] {
    const answers: gateway.vms.DirectoryAnswer[] = [];
    this.tasks.get(name)!.post({ type: 'directory-requested', place, replyTo: { post: (answer) => answers.push(answer) } });
    return [...answers[0]!.hosts].sort();
  }

  /**
   * Stops a VM as a signal does.
   * @param name - Name of the VM.
   */
  stopVm(name: string): void {
    this.tasks.get(name)!.post({ type: 'stop' });
  }

  /**
   * Gives a VM other seeds while it runs.
   * @param name - Name of the VM.
   * @param seedHosts - Hosts of the seeds.
   */
  applySeeds(name: string, seedHosts: readonly string[]): void {
    this.tasks.get(name)!.post({ type: 'settings-changed', seedHosts, validityMs: 1_000 });
  }

  private startVm(name: string, seed: string): void {
    const task = new gateway.vms.MembershipTask({
      scheduler: new core.tasks.TaskScheduler(),
      timers: this.timers,
      random: new core.randomness.SeededRandomSource(name.length),
      outbox: {
        post: (output) => {
          if (output.type !== 'send-heartbeat' || this.down.has(name)) return;
          this.sent.set(name, (this.sent.get(name) ?? 0) + output.hosts.length);
          output.hosts.filter((host) => !this.down.has(host))
            .forEach((host) => this.tasks.get(host)?.post({ type: 'heartbeat-received', heartbeat: output.heartbeat }));
        },
      },
      catalog: { post: () => undefined },
      self: {
        name, host: name, place: name.split('-')[0]!, incarnation: `${name}/1`, capacity: 1,
      },
      seedHosts: [seed],
      frontsPerPlace: 2,
      validityMs: 1_200,
    });
    this.tasks.set(name, task);
    task.post({ type: 'start' });
    task.post({
      type: 'catalog-status', revision: 1, confirmedAtMs: 0, content: 'changed', configuration: 'known',
    });
  }
}

const NAMES = ['a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2', 'b-3'];

vitest.describe('MembershipTask', () => {
  vitest.it('lets VMs that know one seed only agree on the VMs that callers of a place use', () => {
    const members = new TestMembers(NAMES);
    members.timers.advanceTo(8_000);
    const answers = ['a-1', 'a-2', 'a-3', 'a-4'].map((name) => members.listFronts(name, 'a').join());
    vitest.expect(new Set(answers).size).toBe(1);
    vitest.expect(answers[0]!.split(',')).toHaveLength(2);
    vitest.expect(members.listFronts('a-1', 'b').every((host) => host.startsWith('b-'))).toBe(true);
  });

  vitest.it('replaces a VM that is lost within a second and a half', () => {
    const members = new TestMembers(NAMES);
    members.timers.advanceTo(8_000);
    const [lost] = members.listFronts('a-1', 'a');
    members.down.add(lost!);
    members.timers.advanceTo(9_500);
    const queried = NAMES.find((name) => name.startsWith('a') && name !== lost)!;
    vitest.expect(members.listFronts(queried, 'a')).not.toContain(lost);
  });

  vitest.it('sends no caller to a VM that is being stopped, from the moment of the stop', () => {
    const members = new TestMembers(NAMES);
    members.timers.advanceTo(8_000);
    const [stopped] = members.listFronts('a-1', 'a');
    members.stopVm(stopped!);
    ['a-1', 'a-2', 'a-3', 'a-4'].forEach((name) => vitest.expect(members.listFronts(name, 'a')).not.toContain(stopped));
  });

  vitest.it('sends no more in a large place than in a small one, as long as callers are not sent to the VM', () => {
    const countSent = (size: number): number => {
      const members = new TestMembers(Array.from({ length: size }, (_, index) => `a-${index}`));
      members.timers.advanceTo(20_000);
      members.sent.clear();
      members.timers.advanceTo(40_000);
      const fronts = members.listFronts('a-0', 'a');
      const reserves = [...members.sent].filter(([name]) => !fronts.includes(name)).map(([, count]) => count);
      return reserves.reduce((sum, count) => sum + count, 0) / reserves.length;
    };
    vitest.expect(countSent(48)).toBeLessThanOrEqual(1.1 * countSent(20));
  });

  vitest.it('finds the others through seeds that were set while it ran', () => {
    const tested = new TestMembers(['a-2', 'a-3'], 'a-1');
    tested.timers.advanceTo(5_000);
    vitest.expect(tested.listFronts('a-3', 'a')).toEqual(['a-3']);
    tested.applySeeds('a-3', ['a-2']);
    tested.timers.advanceTo(5_100);
    vitest.expect(tested.listFronts('a-3', 'a')).toEqual(['a-2', 'a-3']);
  });

  vitest.it('keeps the view when the seed is gone', () => {
    const members = new TestMembers(NAMES);
    members.timers.advanceTo(8_000);
    members.down.add('a-1');
    members.timers.advanceTo(40_000);
    vitest.expect(members.listFronts('a-2', 'a')).toHaveLength(2);
    vitest.expect(members.listFronts('a-2', 'b').every((host) => host.startsWith('b-'))).toBe(true);
  });

  vitest.it('sends callers to another place when their own has no VM', () => {
    const members = new TestMembers(['a-1', 'a-2']);
    members.timers.advanceTo(3_000);
    vitest.expect(members.listFronts('a-1', 'c')).toEqual(['a-1', 'a-2']);
  });
});

import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';

// Peer messages that are lost more often than this no longer count as heard.
const HEARD_LOSS_SHARE = 0.3;

/** Groups machines that hear each other in both directions. */
export class MachineGroups {
  /** @param table - Links between the machines. */
  constructor(private readonly table: links.LinkTable) {}

  /**
   * Computes the connected groups.
   * @param machines - Running machines.
   */
  computeGroups(machines: readonly vms.FakeMachine[]): readonly (readonly vms.FakeMachine[])[] {
    const left = new Set(machines);
    const groups: vms.FakeMachine[][] = [];
    machines.forEach((first) => {
      if (!left.delete(first)) return;
      const group = [first];
      for (let next = 0; next < group.length; next += 1) {
        const member = group[next]!;
        [...left].filter((other) => this.canHear(member, other) && this.canHear(other, member)).forEach((other) => {
          left.delete(other);
          group.push(other);
        });
      }
      groups.push(group);
    });
    return groups;
  }

  private canHear(from: vms.FakeMachine, to: vms.FakeMachine): boolean {
    const state = this.table.getState(from.endpoint, to.endpoint);
    return state.state === 'passing' && state.lossShare <= HEARD_LOSS_SHARE && state.delayMs < 500;
  }
}

import type * as demoProcess from './DemoProcess.js';

/** All child processes of one run. */
export class ProcessGroup {
  private readonly members: demoProcess.DemoProcess[] = [];

  /**
   * Adds a process.
   * @param member - Process to end with the group.
   */
  add<Member extends demoProcess.DemoProcess>(member: Member): Member {
    this.members.push(member);
    return member;
  }

  /** Kills all processes. Needs no event loop, so that it can be used when the parent exits. */
  killAll(): void {
    this.members.forEach((member) => member.kill('SIGKILL'));
  }

  /** Kills all processes and waits for their ends. */
  async close(): Promise<void> {
    this.killAll();
    await Promise.all(this.members.map((member) => member.ended));
  }
}

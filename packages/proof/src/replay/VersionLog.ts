import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';

/** Keeps when each VM first had each version of the document. */
export class VersionLog {
  private readonly reachedAtMs = new Map<string, number>();

  /** @param view - Truth about the world. */
  constructor(private readonly view: worlds.WorldView) {}

  /**
   * Handles what happened.
   * @param event - Event of the world.
   */
  handle(event: worlds.WorldEvent): void {
    if (event.type !== 'document-accepted') return;
    const key = `${event.machine.endpoint.name}/${event.machine.run}/${event.reference.version}`;
    if (!this.reachedAtMs.has(key)) this.reachedAtMs.set(key, this.view.getNowMs());
  }

  /**
   * Gets when the running process of a VM had a version or a later one, in milliseconds.
   * @param machine - Machine of the VM.
   * @param version - Version of the document.
   * @param newest - Newest version that was published.
   */
  getReachedMs(machine: vms.FakeMachine, version: number, newest: number): number | undefined {
    const times = Array.from({ length: newest - version + 1 }, (_, index) => (
      this.reachedAtMs.get(`${machine.endpoint.name}/${machine.run}/${version + index}`) ?? Infinity
    ));
    const first = Math.min(...times);
    return first === Infinity ? undefined : first;
  }
}

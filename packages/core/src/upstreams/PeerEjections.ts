// A peer reports its ejections about every 12 s if no message is lost; after five missing reports it is considered gone.
const LIFETIME_MS = 60_000;

/** Instances of one service that other VMs have ejected, from the latest report of each VM. */
export class PeerEjections {
  private readonly reports = new Map<string, { readonly instances: ReadonlySet<string>; readonly atMs: number }>();

  /**
   * Records the ejections of one peer, which replace those of its previous report.
   * @param peerName - Name of the peer.
   * @param instances - Names of all instances that it has ejected.
   * @param nowMs - Current time, in milliseconds.
   * @returns Whether the report differs from the previous one.
   */
  record(peerName: string, instances: readonly string[], nowMs: number): 'changed' | 'unchanged' {
    const previous = this.reports.get(peerName);
    if (previous === undefined && instances.length === 0) return 'unchanged';
    if (instances.length === 0) this.reports.delete(peerName);
    else this.reports.set(peerName, { instances: new Set(instances), atMs: nowMs });
    return previous?.instances.size === instances.length && instances.every((name) => previous.instances.has(name)) ? 'unchanged' : 'changed';
  }

  /**
   * Removes reports that the peer has not renewed.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    this.reports.forEach((report, peerName) => {
      if (nowMs - report.atMs >= LIFETIME_MS) this.reports.delete(peerName);
    });
  }

  /**
   * Counts the peers that have ejected an instance.
   * @param name - Name of the instance.
   */
  count(name: string): number {
    let count = 0;
    this.reports.forEach((report) => {
      if (report.instances.has(name)) count += 1;
    });
    return count;
  }
}

import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as evidenceRow from './EvidenceRow.js';
import type * as instance from './Instance.js';
import * as probeSchedule from './ProbeSchedule.js';

/** Sends the messages to peers, the log entries and the health probes of one `UpstreamTask`. */
export class UpstreamAnnouncer {
  private announcedNames = '';

  /**
   * @param context - Dependencies of the task.
   * @param service - Name of the service.
   */
  constructor(private readonly context: vms.VmContext, private readonly service: string) {}

  /**
   * Pushes drain notices to all peers.
   * @param notices - Notices that are new to this VM.
   */
  announceDrains(notices: readonly drainNotice.DrainNotice[]): void {
    this.context.mailboxes.peers.post({ type: 'push', message: { type: 'drain', notices } });
  }

  /**
   * Reports to peers and to the log which instances this VM has ejected, if that changed since the last report.
   * @param instances - All instances of the service.
   */
  announceEjections(instances: readonly instance.Instance[]): void {
    const { service } = this;
    const ejected = instances.filter((each) => each.ejection.getState() === 'ejected' && each.state === 'live');
    const names = ejected.map((each) => each.address.name);
    if (names.join(' ') === this.announcedNames) return;
    this.announcedNames = names.join(' ');
    this.context.mailboxes.peers.post({ type: 'ejections-changed', notice: { service, instances: names } });
    const reasons = ejected.map((each) => `${each.address.name} (${each.reason})`).join(', ');
    const text = names.length === 0 ? `${service}: no instance is ejected any more` : `${service}: ejected instances: ${reasons}`;
    this.context.outbox.post({
      type: 'log', prefix: 'upstreams', level: 'info', text,
    });
  }

  /**
   * Requests evidence from the other VMs of the fronting set, the VMs that callers of the service are sent to. Sends nothing if the list
   * of instances is empty.
   * @param instances - Names of the instances.
   */
  requestEvidence(instances: readonly string[]): void {
    if (instances.length === 0) return;
    const { service } = this;
    this.context.mailboxes.peers.post({ type: 'send-to-fronting', service, message: { type: 'evidence-requested', service, instances } });
  }

  /**
   * Reports evidence to a peer. Sends nothing if there are no counts.
   * @param to - Name of the peer.
   * @param rows - Counts of this VM.
   */
  reportEvidence(to: string, rows: readonly evidenceRow.EvidenceRow[]): void {
    if (rows.length === 0) return;
    this.context.mailboxes.peers.post({ type: 'send', to, message: { type: 'evidence', service: this.service, rows } });
  }

  /**
   * Sends a health probe to each of the instances.
   * @param instances - Instances to probe.
   */
  sendProbes(instances: readonly instance.Instance[]): void {
    instances.forEach((each) => this.context.outbox.post({
      type: 'send-probe', instance: each.address, timeoutMs: probeSchedule.PROBE_TIMEOUT_MS,
    }));
  }
}

import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as evidenceRow from './EvidenceRow.js';
import type * as instance from './Instance.js';
import * as probeSchedule from './ProbeSchedule.js';

/** Sends what one service has to tell peers and the surroundings. */
export class UpstreamAnnouncer {
  private announcedNames = '';

  /**
   * @param context - Surroundings of the tasks of the VM.
   * @param service - Name of the service.
   */
  constructor(private readonly context: vms.VmContext, private readonly service: string) {}

  /**
   * Pushes drain notices to all peers.
   * @param notices - Notices that this VM did not know before.
   */
  announceDrains(notices: readonly drainNotice.DrainNotice[]): void {
    this.context.mailboxes.peers.post({ type: 'push', message: { type: 'drain', notices } });
  }

  /**
   * Announces which instances this VM has ejected, if that changed.
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
    const text = names.length === 0 ? `${service}: no instance is ejected` : `${service}: ejected ${reasons}`;
    this.context.outbox.post({
      type: 'log', prefix: 'upstreams', level: 'info', text,
    });
  }

  /**
   * Requests evidence from the other VMs of the fronting set.
   * @param instances - Names of the instances, possibly none.
   */
  requestEvidence(instances: readonly string[]): void {
    if (instances.length === 0) return;
    const { service } = this;
    this.context.mailboxes.peers.post({ type: 'send-to-fronting', service, message: { type: 'evidence-requested', service, instances } });
  }

  /**
   * Reports evidence to a peer.
   * @param to - Name of the peer.
   * @param rows - Counts, possibly none.
   */
  reportEvidence(to: string, rows: readonly evidenceRow.EvidenceRow[]): void {
    if (rows.length === 0) return;
    this.context.mailboxes.peers.post({ type: 'send', to, message: { type: 'evidence', service: this.service, rows } });
  }

  /**
   * Sends probes.
   * @param instances - Instances to probe.
   */
  sendProbes(instances: readonly instance.Instance[]): void {
    instances.forEach((each) => this.context.outbox.post({
      type: 'send-probe', instance: each.address, timeoutMs: probeSchedule.PROBE_TIMEOUT_MS,
    }));
  }
}

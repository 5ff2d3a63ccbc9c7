import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as drainNoticeStore from './DrainNoticeStore.js';
import type * as partialView from './PartialView.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';

const PEER_SAMPLE_SIZE = 2;
const MAX_EJECTED_SERVICES = 16;
const MAX_EJECTED_INSTANCES = 16;

/** Options of an `ExchangeBuilder`. */
export interface ExchangeBuilderOptions {
  readonly view: partialView.PartialView;
  readonly drainNotices: drainNoticeStore.DrainNoticeStore;
}

/** State of this VM that an exchange reports. */
export interface ExchangeState {
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly document: contracts.DocumentReference | undefined;
}

/** Builds the exchanges (periodic state messages) that this VM sends to peers. Their size does not grow with the number of VMs. */
export class ExchangeBuilder {
  private readonly ejections = new Map<string, upstreams.EjectionNotice>();

  /** @param options - Known peers and drain notices to report. */
  constructor(private readonly options: ExchangeBuilderOptions) {}

  /**
   * Sets the ejections to report for one service.
   * @param notice - Service and its ejected instances.
   */
  setEjections(notice: upstreams.EjectionNotice): void {
    if (notice.instances.length === 0) this.ejections.delete(notice.service);
    else this.ejections.set(notice.service, { service: notice.service, instances: notice.instances.slice(0, MAX_EJECTED_INSTANCES) });
  }

  /**
   * Builds an exchange.
   * @param to - Receiver.
   * @param direction - `request`: the receiver replies with an exchange.
   * @param own - State of this VM.
   * @param nowMs - Current time in milliseconds.
   */
  buildExchange(to: vmIdentity.VmIdentity, direction: 'request' | 'reply', own: ExchangeState, nowMs: number): peerMessage.PeerExchange {
    const { view, drainNotices } = this.options;
    return {
      type: 'exchange',
      direction,
      document: own.document,
      state: own.state,
      drains: drainNotices.selectNotices(nowMs, view.findPeer(to.name)?.reportedState === 'starting' ? 'starting' : 'other'),
      ejections: [...this.ejections.values()].slice(0, MAX_EJECTED_SERVICES),
      peers: view.sampleRecentPeers(PEER_SAMPLE_SIZE, nowMs).filter((identity) => identity.name !== to.name),
    };
  }
}

import * as links from '../links/index.js';
import * as drainNoticeStore from './DrainNoticeStore.js';
import * as incarnationPolicy from './IncarnationPolicy.js';

/** Creates the rules that the `PeerTask` decides by. A subclass replaces single rules. */
export class PeerRules {
  /** Creates the rule for the reachability of one peer. */
  createReachabilityDetector(): links.ReachabilityDetector {
    return new links.ReachabilityDetector();
  }

  /** Creates the rule that orders the messages of one incarnation of a peer. */
  createSequenceWindow(): links.SequenceWindow {
    return new links.SequenceWindow();
  }

  /** Creates the rule for the incarnations of one peer. */
  createIncarnationPolicy(): incarnationPolicy.IncarnationPolicy {
    return new incarnationPolicy.IncarnationPolicy();
  }

  /** Creates the record of the instances that leave. */
  createDrainNoticeStore(): drainNoticeStore.DrainNoticeStore {
    return new drainNoticeStore.DrainNoticeStore();
  }
}

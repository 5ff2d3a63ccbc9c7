import type * as callers from '../callers/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as listEntry from './ListEntry.js';
import type * as peerMessage from './PeerMessage.js';

/** Input to the decision logic of a VM. */
export type VmInput =
  | { readonly type: 'caller-request'; readonly requestId: string; readonly request: callers.CallerRequest }
  /** The caller closed its connection or cancelled. */
  | { readonly type: 'caller-gone'; readonly requestId: string }
  | { readonly type: 'address-query'; readonly queryId: string; readonly service: string }
  | { readonly type: 'status-query'; readonly queryId: string }
  | { readonly type: 'evidence-query'; readonly queryId: string; readonly member: string }
  | { readonly type: 'attempt-ended'; readonly attemptId: string; readonly result: upstreams.AttemptResult }
  /** The answer of an attempt exceeds the buffer limit. The VM responds with `stream-attempt` or `cancel-attempt`. */
  | { readonly type: 'attempt-overflowed'; readonly attemptId: string; readonly echo: 'matched' | 'mismatched' | 'absent' }
  | { readonly type: 'probe-ended'; readonly service: string; readonly instance: string; readonly result: upstreams.ProbeResult }
  | { readonly type: 'peer-envelope'; readonly envelope: peerMessage.PeerEnvelope }
  | { readonly type: 'peer-unreached'; readonly to: string }
  /** Peer message that could not be decoded. */
  | { readonly type: 'peer-invalid'; readonly detail: string }
  | { readonly type: 'configuration-read'; readonly text: string }
  | { readonly type: 'list-read'; readonly entries: readonly listEntry.ListEntry[] }
  | { readonly type: 'platform-failed'; readonly source: 'configuration' | 'list' }
  | { readonly type: 'stop' };

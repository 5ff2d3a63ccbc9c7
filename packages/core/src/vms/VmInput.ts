import type * as callers from '../callers/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as listEntry from './ListEntry.js';
import type * as peerMessage from './PeerMessage.js';

/**
 * Input to the decision logic of a VM, from the process that owns its sockets. The platform is the service from which VMs read the
 * configuration document and the list of VMs and upstream instances.
 */
export type VmInput =
  | { readonly type: 'caller-request'; readonly requestId: string; readonly request: callers.CallerRequest }
  /** The caller disconnected or cancelled its request. */
  | { readonly type: 'caller-gone'; readonly requestId: string }
  /** Requests the addresses of the VMs that callers of a service are to use. */
  | { readonly type: 'address-query'; readonly queryId: string; readonly service: string }
  /** Requests the status of this VM. */
  | { readonly type: 'status-query'; readonly queryId: string }
  /** Requests the report on the service that a member received from this VM. Unrelated to the peer message `evidence`. */
  | { readonly type: 'evidence-query'; readonly queryId: string; readonly member: string }
  /** An attempt has ended: one try to have a request answered by an upstream instance. */
  | { readonly type: 'attempt-ended'; readonly attemptId: string; readonly result: upstreams.AttemptResult }
  /**
   * The answer of an attempt exceeds the buffer limit. The VM then outputs `stream-attempt` or `cancel-attempt`. `echo` is the result
   * of comparing the request id in the answer with that of the request.
   */
  | { readonly type: 'attempt-overflowed'; readonly attemptId: string; readonly echo: 'matched' | 'mismatched' | 'absent' }
  /** Result of a health check of an upstream instance. */
  | { readonly type: 'probe-ended'; readonly service: string; readonly instance: string; readonly result: upstreams.ProbeResult }
  | { readonly type: 'peer-envelope'; readonly envelope: peerMessage.PeerEnvelope }
  /** A message to the VM named `to` could not be delivered. */
  | { readonly type: 'peer-unreached'; readonly to: string }
  /** A peer message could not be decoded. */
  | { readonly type: 'peer-invalid'; readonly detail: string }
  /** Signed text of the configuration document, as read from the platform. */
  | { readonly type: 'configuration-read'; readonly text: string }
  /** List of VMs and upstream instances, as read from the platform. */
  | { readonly type: 'list-read'; readonly entries: readonly listEntry.ListEntry[] }
  /** The configuration document or the list could not be read from the platform. */
  | { readonly type: 'platform-failed'; readonly source: 'configuration' | 'list' }
  /** Begins a graceful shutdown. */
  | { readonly type: 'stop' };

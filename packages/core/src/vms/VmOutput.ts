import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';
import type * as vmStatus from './VmStatus.js';

/** Answer to an address query. */
export type AddressAnswer =
  | {
    readonly type: 'addresses';
    readonly service: string;
    readonly addresses: readonly { readonly vm: string; readonly host: string; readonly port: number; readonly place: string }[];
    /** Time for which the caller may cache the answer, in milliseconds. */
    readonly validForMs: number;
    /** Prefix for operation ids; undefined while this VM issues none. */
    readonly operationPrefix: string | undefined;
  }
  | { readonly type: 'unknown-service'; readonly service: string }
  | { readonly type: 'not-ready' };

/** Output of the decision logic of a VM. */
export type VmOutput =
  | { readonly type: 'caller-answer'; readonly requestId: string; readonly outcome: contracts.Outcome }
  | { readonly type: 'address-answer'; readonly queryId: string; readonly answer: AddressAnswer }
  | { readonly type: 'status-answer'; readonly queryId: string; readonly status: vmStatus.VmStatus }
  | { readonly type: 'evidence-answer'; readonly queryId: string; readonly report: callers.MemberReport | undefined }
  /** Sends a request to an upstream instance. */
  | {
    readonly type: 'send-attempt';
    readonly attemptId: string;
    /** Request that the attempt belongs to; a large answer is streamed to its caller. */
    readonly requestId: string;
    readonly instance: upstreams.InstanceAddress;
    readonly contract: contracts.ServiceContract;
    readonly request: callers.CallerRequest;
    /** Time for which the connection waits for the answer, in milliseconds. An operation may continue after its deadline. */
    readonly timeoutMs: number;
    /** Remaining time until the deadline of the caller, in milliseconds; sent to the upstream as its deadline. */
    readonly deadlineMs: number;
    /** The same as a time of the timer service, so that it does not move while the message is delivered. */
    readonly deadlineAtMs: number;
  }
  | { readonly type: 'cancel-attempt'; readonly attemptId: string }
  /** Streams the answer of an attempt, which exceeds the buffer limit, to the caller. */
  | { readonly type: 'stream-attempt'; readonly attemptId: string }
  /** Sends a health check to an upstream instance. */
  | { readonly type: 'send-probe'; readonly instance: upstreams.InstanceAddress; readonly timeoutMs: number }
  | { readonly type: 'send-peer'; readonly to: vmIdentity.VmIdentity; readonly envelope: peerMessage.PeerEnvelope }
  /** Whether this VM watches the platform or polls it. */
  | { readonly type: 'platform-mode'; readonly mode: 'watch' | 'poll' }
  /** A document was accepted. Its members are needed to verify the member keys of requests. */
  | {
    readonly type: 'document-accepted';
    readonly reference: contracts.DocumentReference;
    readonly members: readonly contracts.MemberContract[];
  }
  | { readonly type: 'evidence-flush'; readonly flush: callers.EvidenceFlush }
  | { readonly type: 'log'; readonly prefix: string; readonly level: 'info' | 'warn'; readonly text: string }
  /** The address validity has expired and all requests have ended; the process may exit. */
  | { readonly type: 'stopped' };

import type * as tasks from '../tasks/index.js';
import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentFailure from './DocumentFailure.js';
import type * as documentReference from './DocumentReference.js';

/** A peer reported its newest document, or that it holds none. */
export interface PeerDocument {
  readonly type: 'peer-document';
  readonly from: string;
  readonly place: string;
  readonly document: documentReference.DocumentReference | undefined;
  /** `reply`: reply to an exchange request of this incarnation; counts as a startup answer. `unsolicited`: any other message. */
  readonly origin: 'reply' | 'unsolicited';
}

/** Message to the `ConfigurationTask`. */
export type ConfigurationMessage =
  /** Document text that was read from the platform. */
  | { readonly type: 'published'; readonly text: string }
  /** The document could not be read from the platform. */
  | { readonly type: 'platform-failed' }
  | PeerDocument
  /** Document text that a peer sent. */
  | { readonly type: 'peer-text'; readonly from: string; readonly text: string }
  /** A peer requests the text of the document that this VM holds. */
  | { readonly type: 'peer-request'; readonly from: string }
  /** Number of other VMs in the platform's list, or of the seed peers if no list has arrived. */
  | { readonly type: 'listed-peers'; readonly count: number }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<ConfigurationStatus> }
  /** The next request for the text of a newer document is due. */
  | { readonly type: 'retry-due' }
  | { readonly type: 'tick' };

/** Published to the tasks of the VM when a document is accepted. */
export interface DocumentAccepted {
  readonly type: 'document-accepted';
  readonly document: deploymentDocument.DeploymentDocument;
}

/** State of the configuration for the status page. */
export interface ConfigurationStatus {
  readonly type: 'configuration-status';
  /** Document in force. */
  readonly document: documentReference.DocumentReference | undefined;
  /** Why the VM does not serve yet; empty when it serves. */
  readonly waitingFor: string;
  /** Result of the last read of the platform. */
  readonly platform: 'reachable' | 'failed' | 'unread';
  /** Reason of the last refusal. */
  readonly refusal: documentFailure.DocumentFailure | undefined;
  /** Versions that were published with different digests. */
  readonly conflicts: readonly documentReference.DocumentReference[];
}

import type * as tasks from '../tasks/index.js';
import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentFailure from './DocumentFailure.js';
import type * as documentReference from './DocumentReference.js';

/** A peer named its newest document, or none. */
export interface PeerDocument {
  readonly type: 'peer-document';
  readonly from: string;
  readonly place: string;
  readonly document: documentReference.DocumentReference | undefined;
  /** `answer`: reply to an exchange of this incarnation; counts for the start. `news`: anything else. */
  readonly origin: 'reply' | 'unsolicited';
}

/** Message to the `ConfigurationTask`. */
export type ConfigurationMessage =
  | { readonly type: 'published'; readonly text: string }
  | { readonly type: 'platform-failed' }
  | PeerDocument
  | { readonly type: 'peer-text'; readonly from: string; readonly text: string }
  | { readonly type: 'peer-request'; readonly from: string }
  /** Number of other VMs that the platform's list names. */
  | { readonly type: 'listed-peers'; readonly count: number }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<ConfigurationStatus> }
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
  readonly platform: 'reachable' | 'failed' | 'unread';
  /** Last refused text and why. */
  readonly refusal: documentFailure.DocumentFailure | undefined;
  /** Versions that were published with different digests. */
  readonly conflicts: readonly documentReference.DocumentReference[];
}

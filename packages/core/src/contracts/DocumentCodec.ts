import type * as neverthrow from 'neverthrow';

import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentFailure from './DocumentFailure.js';

/** Reads published text into a document. Kept apart from the decision whether the document is accepted. */
export abstract class DocumentCodec {
  /**
   * Checks the seal and the fields of a published text.
   * @param text - Text as published by the platform or sent by a peer.
   */
  abstract decode(text: string): neverthrow.Result<deploymentDocument.DeploymentDocument, documentFailure.DocumentFailure>;
}

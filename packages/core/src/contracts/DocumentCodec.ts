import type * as neverthrow from 'neverthrow';

import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentFailure from './DocumentFailure.js';

/** Decodes published text into a document. The decision whether the document is accepted is made elsewhere. */
export abstract class DocumentCodec {
  /**
   * Verifies the seal and validates the fields of a published text.
   * @param text - Text as published by the platform or sent by a peer.
   */
  abstract decode(text: string): neverthrow.Result<deploymentDocument.DeploymentDocument, documentFailure.DocumentFailure>;
}

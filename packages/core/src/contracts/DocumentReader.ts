import * as neverthrow from 'neverthrow';

import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentCodec from './DocumentCodec.js';
import type * as documentFailure from './DocumentFailure.js';

/** Reads texts from the platform and from peers into documents of this deployment, with the same checks for both. */
export class DocumentReader {
  private refusal: documentFailure.DocumentFailure | undefined;

  // The platform repeats its text with each read; its seal is verified once.
  private refusedText: string | undefined;

  /**
   * @param codec - Checks the seal and reads the fields.
   * @param deployment - Name of the deployment.
   */
  constructor(private readonly codec: documentCodec.DocumentCodec, private readonly deployment: string) {}

  /** Gets the reason of the last refusal. */
  getRefusal(): documentFailure.DocumentFailure | undefined {
    return this.refusal;
  }

  /**
   * Records that a valid document is not accepted.
   * @param failure - Reason.
   */
  recordRefusal(failure: documentFailure.DocumentFailure): void {
    this.refusal = failure;
  }

  /**
   * Reads a text.
   * @param text - Sealed text.
   * @returns The document; `repeated` if the same text was refused just before.
   */
  readText(text: string): neverthrow.Result<deploymentDocument.DeploymentDocument, documentFailure.DocumentFailure | { readonly type: 'repeated' }> {
    if (text === this.refusedText) return neverthrow.err({ type: 'repeated' });
    return this.codec.decode(text)
      .andThen((document) => (document.deployment === this.deployment
        ? neverthrow.ok(document)
        : neverthrow.err({ type: 'other-deployment', found: document.deployment, expected: this.deployment } as const)))
      .orTee((failure) => {
        this.refusedText = text;
        this.refusal = failure;
      });
  }
}

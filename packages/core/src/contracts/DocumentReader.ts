import * as neverthrow from 'neverthrow';

import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentCodec from './DocumentCodec.js';
import type * as documentFailure from './DocumentFailure.js';

/** Decodes texts from the platform and from peers, and refuses documents of other deployments. */
export class DocumentReader {
  private refusal: documentFailure.DocumentFailure | undefined;

  // Each read of the platform returns the same text, whose seal need not be verified again.
  private refusedText: string | undefined;

  /**
   * @param codec - Verifies the seal and decodes the fields.
   * @param deployment - Name of the deployment.
   */
  constructor(private readonly codec: documentCodec.DocumentCodec, private readonly deployment: string) {}

  /** Gets the reason of the last refusal. */
  getRefusal(): documentFailure.DocumentFailure | undefined {
    return this.refusal;
  }

  /**
   * Records the refusal of a valid document.
   * @param failure - Reason of the refusal.
   */
  recordRefusal(failure: documentFailure.DocumentFailure): void {
    this.refusal = failure;
  }

  /**
   * Decodes a text.
   * @param text - Sealed text.
   * @returns The document or the reason of the refusal; `repeated` if the text equals the last refused one.
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

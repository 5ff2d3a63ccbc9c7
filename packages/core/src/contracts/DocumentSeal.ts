import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';

import type * as documentFailure from './DocumentFailure.js';

const SEAL_TABLE = '\n[seal]\n';
const SEAL_PATTERN = /^algorithm = "ed25519"\nsignature = "([A-Za-z0-9+/=]+)"\n$/;

/** Signs and verifies the text of configuration documents. The signature covers every byte above the `[seal]` table. */
export class DocumentSeal {
  /**
   * Appends a seal to the text of a document.
   * @param text - Text without a seal.
   * @param privateKey - Ed25519 private key of the console.
   */
  static sealText(text: string, privateKey: crypto.KeyObject): string {
    const signature = crypto.sign(null, Buffer.from(text), privateKey).toString('base64');
    return `${text}${SEAL_TABLE}algorithm = "ed25519"\nsignature = "${signature}"\n`;
  }

  /**
   * Verifies the seal of a document and returns the text above it.
   * @param sealed - Text with a seal.
   * @param publicKey - Ed25519 public key of the console.
   */
  static verifyText(sealed: string, publicKey: crypto.KeyObject): neverthrow.Result<string, documentFailure.DocumentFailure> {
    const position = sealed.lastIndexOf(SEAL_TABLE);
    if (position < 0) return neverthrow.err({ type: 'seal-missing' });
    const text = sealed.slice(0, position);
    const signature = SEAL_PATTERN.exec(sealed.slice(position + SEAL_TABLE.length))?.[1];
    if (signature === undefined) return neverthrow.err({ type: 'seal-invalid' });
    const valid = crypto.verify(null, Buffer.from(text), publicKey, Buffer.from(signature, 'base64'));
    return valid ? neverthrow.ok(text) : neverthrow.err({ type: 'seal-invalid' });
  }
}

import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

const READ_TIMEOUT_MS = 5_000;

/** Reason why the published document cannot be used as the base of a draft: it could not be read, or its seal or its fields are invalid. */
export type PublishedDocumentFailure =
  | { readonly type: 'platform-unreachable'; readonly detail: string }
  | { readonly type: 'invalid'; readonly failure: core.contracts.DocumentFailure };

/** Configuration document that the platform publishes. */
export interface PublishedDocument {
  readonly fields: core.contracts.DocumentFields;
  /** SHA-256 digest of the sealed text, in hexadecimal. */
  readonly digest: string;
}

/** Reads the published document from the platform and verifies its seal (Ed25519 signature). The console never writes to the platform. */
export class PublishedDocumentReader {
  private readonly reader = new core.contracts.TomlReader(core.contracts.DOCUMENT_SCHEMA);

  /**
   * @param platformUrl - Base URL of the platform.
   * @param publicKey - Ed25519 public key of the console, which verifies the seal.
   */
  constructor(private readonly platformUrl: string, private readonly publicKey: crypto.KeyObject) {}

  /** Reads the published document; undefined if the platform has not published any. */
  async read(): Promise<neverthrow.Result<PublishedDocument | undefined, PublishedDocumentFailure>> {
    const response = await neverthrow.ResultAsync.fromPromise(this.fetchText(), (error): PublishedDocumentFailure => ({
      type: 'platform-unreachable', detail: error instanceof Error ? error.message : 'no response',
    }));
    return response.andThen(({ status, text }): neverthrow.Result<PublishedDocument | undefined, PublishedDocumentFailure> => {
      if (status === 404 || (status === 200 && text === '')) return neverthrow.ok(undefined);
      // Any other status is an error: treating it as "nothing published" would restart the versions at 1.
      if (status !== 200) return neverthrow.err({ type: 'platform-unreachable', detail: `status ${status}` });
      return this.decode(text);
    });
  }

  private decode(text: string): neverthrow.Result<PublishedDocument, PublishedDocumentFailure> {
    return core.contracts.DocumentSeal.verifyText(text, this.publicKey)
      .andThen((body) => this.reader.read(body))
      .map((fields) => ({ fields, digest: crypto.createHash('sha256').update(text).digest('hex') }))
      .mapErr((failure): PublishedDocumentFailure => ({ type: 'invalid', failure }));
  }

  private async fetchText(): Promise<{ readonly status: number; readonly text: string }> {
    const response = await undici.request(`${this.platformUrl}/configuration`, { headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS });
    return { status: response.statusCode, text: await response.body.text() };
  }
}

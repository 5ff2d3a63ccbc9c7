import * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

type Decoded = neverthrow.Result<core.contracts.DeploymentDocument, core.contracts.DocumentFailure>;

/** Codec that decodes each text once for all VMs of a world. */
export class CachedDocumentCodec extends core.contracts.DocumentCodec {
  private readonly decoded = new Map<string, Decoded>();

  /** @param codec - Codec that reads the texts. */
  constructor(private readonly codec: core.contracts.DocumentCodec) {
    super();
  }

  override decode(text: string): Decoded {
    const known = this.decoded.get(text);
    if (known !== undefined) return known;
    const result = this.codec.decode(text);
    this.decoded.set(text, result);
    return result;
  }
}

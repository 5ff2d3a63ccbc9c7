import * as crypto from 'node:crypto';

// PKCS #8 header of a raw 32-byte Ed25519 private key (RFC 8410).
const PKCS8_HEADER = Buffer.from('302e020100300506032b657004220420', 'hex');

/** Key pair that seals configuration documents. */
export class DocumentKeys {
  private constructor(
    /** Private key of the console. */
    readonly privateKey: crypto.KeyObject,
    /** Public key in the settings of the entry processes. */
    readonly publicKey: crypto.KeyObject,
  ) {}

  /** Generates a new key pair. */
  static generate(): DocumentKeys {
    const pair = crypto.generateKeyPairSync('ed25519');
    return new DocumentKeys(pair.privateKey, pair.publicKey);
  }

  /**
   * Derives a key pair from a text, for reproducible tests. Not for production use.
   * @param text - Text to derive the key from.
   */
  static fromText(text: string): DocumentKeys {
    const seed = crypto.createHash('sha256').update(text).digest();
    return DocumentKeys.fromPrivateKey(crypto.createPrivateKey({ key: Buffer.concat([PKCS8_HEADER, seed]), format: 'der', type: 'pkcs8' }));
  }

  /**
   * Builds the key pair of a private key.
   * @param privateKey - Ed25519 private key.
   */
  static fromPrivateKey(privateKey: crypto.KeyObject): DocumentKeys {
    return new DocumentKeys(privateKey, crypto.createPublicKey(privateKey));
  }
}

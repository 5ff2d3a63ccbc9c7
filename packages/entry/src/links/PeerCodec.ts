import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as peerSchema from './PeerSchema.js';

function encodeBase64(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
}

/** Encodes peer envelopes as JSON values, with HTTP bodies in base64, and decodes them. */
export class PeerCodec {
  /**
   * Encodes an envelope as a JSON value.
   * @param envelope - Envelope to send.
   */
  static encode(envelope: core.vms.PeerEnvelope): object {
    const { message } = envelope;
    if (message.type === 'operation-forwarded') {
      const { request } = message;
      return { ...envelope, message: { ...message, request: { ...request, body: encodeBase64(request.body) } } };
    }
    if (message.type === 'operation-ended' && message.outcome.type === 'answered') {
      const { answer } = message.outcome;
      return { ...envelope, message: { ...message, outcome: { type: 'answered', answer: { ...answer, body: encodeBase64(answer.body) } } } };
    }
    return envelope;
  }

  /**
   * Decodes and validates an envelope. The error names the first invalid field and the reason.
   * @param value - JSON value received from a peer.
   */
  static decode(value: unknown): neverthrow.Result<core.vms.PeerEnvelope, string> {
    const parsed = peerSchema.PEER_ENVELOPE_SCHEMA.safeParse(value);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      return neverthrow.err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid envelope'}`);
    }
    // JSON cannot represent undefined: fields that are optional in the schema are required in the type, with the value undefined.
    return neverthrow.ok(parsed.data as unknown as core.vms.PeerEnvelope);
  }
}

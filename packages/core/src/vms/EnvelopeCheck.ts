import * as zod from 'zod';

import * as peerMessage from './PeerMessage.js';

const MAX_LIST_ITEMS = 4_096;
const MAX_BODY_BYTES = 2 ** 24;

const TEXT = zod.string().max(256);
const NAME = TEXT.min(1);
const PORT = zod.int().min(0).max(65_535);
const IDENTITY = zod.object({
  name: NAME, incarnation: NAME, host: NAME, port: PORT, peerPort: PORT, place: NAME,
});
// The incarnation is empty if the requesting VM has not received a message from the target.
const TARGET = IDENTITY.extend({ incarnation: TEXT });
const REFERENCE = zod.object({ version: zod.int().min(1), digest: TEXT });
const DRAINS = zod.array(zod.object({ service: TEXT, instance: TEXT, incarnation: TEXT })).max(MAX_LIST_ITEMS);
const EJECTIONS = zod.array(zod.object({ service: TEXT, instances: zod.array(TEXT).max(MAX_LIST_ITEMS) })).max(MAX_LIST_ITEMS);
const COUNT = zod.number().min(0);
const ROW = zod.object({
  instance: TEXT, incarnation: TEXT, good: COUNT, bad: COUNT,
});
const BODY = zod.instanceof(Uint8Array).refine((body) => body.byteLength <= MAX_BODY_BYTES);
const HEADERS = zod.array(zod.tuple([zod.string(), zod.string()]));
const REQUEST = zod.object({
  service: TEXT,
  method: TEXT,
  path: zod.string(),
  headers: HEADERS,
  body: BODY,
  digest: TEXT,
  member: TEXT,
  deadlineMs: COUNT.optional(),
  operationId: TEXT.optional(),
});
const OUTCOME = zod.discriminatedUnion('type', [
  zod.object({ type: zod.literal('answered'), answer: zod.object({ status: zod.int(), headers: HEADERS, body: BODY }) }),
  zod.object({ type: zod.literal('not-run'), reason: TEXT, retryAfterMs: COUNT }),
  zod.object({ type: zod.literal('unknown'), reason: TEXT }),
]);

const MESSAGE = zod.discriminatedUnion('type', [
  zod.object({
    type: zod.literal('exchange'),
    direction: zod.enum(['request', 'reply']),
    document: REFERENCE.optional(),
    state: zod.enum(['starting', 'serving', 'leaving']),
    drains: DRAINS,
    ejections: EJECTIONS,
    peers: zod.array(IDENTITY).max(MAX_LIST_ITEMS),
  }),
  zod.object({ type: zod.literal('drain'), notices: DRAINS }),
  zod.object({ type: zod.literal('leaving') }),
  zod.object({ type: zod.literal('document-announced'), document: REFERENCE }),
  zod.object({ type: zod.literal('document-requested') }),
  zod.object({ type: zod.literal('document'), text: zod.string().max(2 ** 20) }),
  zod.object({ type: zod.literal('evidence-requested'), service: TEXT, instances: zod.array(TEXT).max(MAX_LIST_ITEMS) }),
  zod.object({ type: zod.literal('evidence'), service: TEXT, rows: zod.array(ROW).max(MAX_LIST_ITEMS) }),
  zod.object({ type: zod.literal('reach-requested'), target: TARGET }),
  zod.object({
    type: zod.literal('reach-reported'), target: NAME, incarnation: TEXT, result: zod.enum(['reached', 'silent']),
  }),
  zod.object({ type: zod.literal('operation-forwarded'), forwardId: TEXT, request: REQUEST }),
  zod.object({ type: zod.literal('operation-cancelled'), forwardId: TEXT }),
  zod.object({ type: zod.literal('operation-ended'), forwardId: TEXT, outcome: OUTCOME }),
]);

const ENVELOPE = zod.object({
  format: zod.int().min(peerMessage.PEER_FORMAT_VERSION - 1).max(peerMessage.PEER_FORMAT_VERSION + 1),
  from: IDENTITY,
  sequence: zod.int().min(0),
  message: MESSAGE,
});

/** Validates the fields of decoded peer envelopes, independently of their encoding. */
export class EnvelopeCheck {
  /**
   * Finds the first invalid field of an envelope. Unknown fields are ignored, because a later format may add fields.
   * @param envelope - Envelope as delivered by the transport.
   * @returns Description of the fault; undefined if the envelope is valid.
   */
  findFault(envelope: peerMessage.PeerEnvelope): string | undefined {
    const result = ENVELOPE.safeParse(envelope);
    if (result.success) return undefined;
    const issue = result.error.issues[0];
    return `invalid value at "${issue?.path.join('.') ?? ''}" of the envelope`;
  }
}

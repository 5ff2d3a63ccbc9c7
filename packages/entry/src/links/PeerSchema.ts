import * as zod from 'zod';

import * as headerFilter from './HeaderFilter.js';

// Limits on the messages of a peer, far above the sizes that a VM sends.
const MAX_ITEMS = 10_000;
const MAX_DOCUMENT_CHARACTERS = 2 * 1024 * 1024;
const NAME = zod.string().max(255);
const COUNT = zod.number().min(0);

const BASE64_BYTES = zod.base64().transform((text): Uint8Array => Buffer.from(text, 'base64'));
const HEADER = zod.tuple([zod.string().regex(headerFilter.HEADER_NAME_PATTERN), zod.string().regex(headerFilter.HEADER_VALUE_PATTERN)]);
const HEADERS = zod.array(HEADER).max(MAX_ITEMS);
// Reasons and operation prefixes are written into headers of responses, so only characters that are valid there are accepted.
const REASON = zod.string().regex(/^[a-z-]{1,64}$/);
const OPERATION_PREFIX = zod.string().regex(/^[\x21-\x7e]{1,255}$/);

const VM_IDENTITY = zod.object({
  name: NAME, incarnation: NAME, host: NAME, port: zod.int().min(0).max(65_535), peerPort: zod.int().min(0).max(65_535), place: NAME,
});
const DOCUMENT_REFERENCE = zod.object({ version: zod.int(), digest: NAME });
const DRAIN_NOTICES = zod.array(zod.object({ service: NAME, instance: NAME, incarnation: NAME })).max(MAX_ITEMS);
const NAMES = zod.array(NAME).max(MAX_ITEMS);

const FORWARDED_REQUEST = zod.object({
  service: NAME,
  method: NAME,
  path: zod.string(),
  headers: HEADERS,
  body: BASE64_BYTES,
  digest: NAME,
  member: NAME,
  deadlineMs: zod.number().min(0).optional(),
  operationId: NAME.optional(),
});

const REQUEST_OUTCOME = zod.discriminatedUnion('type', [
  zod.object({ type: zod.literal('answered'), answer: zod.object({ status: zod.int().min(200).max(999), headers: HEADERS, body: BASE64_BYTES }) }),
  zod.object({
    type: zod.literal('not-run'), reason: REASON, retryAfterMs: COUNT, operationPrefix: OPERATION_PREFIX.optional(),
  }),
  zod.object({ type: zod.literal('unknown'), reason: REASON }),
]);

const PEER_MESSAGE = zod.discriminatedUnion('type', [
  zod.object({
    type: zod.literal('exchange'),
    direction: zod.enum(['request', 'reply']),
    document: DOCUMENT_REFERENCE.optional(),
    state: zod.enum(['starting', 'serving', 'leaving']),
    drains: DRAIN_NOTICES,
    ejections: zod.array(zod.object({ service: NAME, instances: NAMES })).max(MAX_ITEMS),
    peers: zod.array(VM_IDENTITY).max(MAX_ITEMS),
  }),
  zod.object({ type: zod.literal('drain'), notices: DRAIN_NOTICES }),
  zod.object({ type: zod.literal('leaving') }),
  zod.object({ type: zod.literal('document-announced'), document: DOCUMENT_REFERENCE }),
  zod.object({ type: zod.literal('document-requested') }),
  zod.object({ type: zod.literal('document'), text: zod.string().max(MAX_DOCUMENT_CHARACTERS) }),
  zod.object({ type: zod.literal('evidence-requested'), service: NAME, instances: NAMES }),
  zod.object({
    type: zod.literal('evidence'),
    service: NAME,
    rows: zod.array(zod.object({
      instance: NAME, incarnation: NAME, good: COUNT, bad: COUNT,
    })).max(MAX_ITEMS),
  }),
  zod.object({ type: zod.literal('reach-requested'), target: VM_IDENTITY }),
  zod.object({
    type: zod.literal('reach-reported'), target: NAME, incarnation: NAME, result: zod.enum(['reached', 'silent']),
  }),
  zod.object({ type: zod.literal('operation-forwarded'), forwardId: NAME, request: FORWARDED_REQUEST }),
  zod.object({ type: zod.literal('operation-cancelled'), forwardId: NAME }),
  zod.object({ type: zod.literal('operation-ended'), forwardId: NAME, outcome: REQUEST_OUTCOME }),
]);

/** Schema of a peer envelope in JSON. Unknown fields are ignored, so that envelopes of the next format version can be read. */
export const PEER_ENVELOPE_SCHEMA = zod.object({
  format: zod.int(), from: VM_IDENTITY, sequence: zod.int().min(0), message: PEER_MESSAGE,
});

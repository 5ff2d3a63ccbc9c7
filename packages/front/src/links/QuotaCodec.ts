import type * as gateway from '@tamarackferry/gateway';
import * as zod from 'zod';

import * as messageBounds from './MessageBounds.js';

const { NAME_SCHEMA } = messageBounds;
const MAX_ROWS = 500;
const MAX_COUNT = 1e12;
const COUNT_SCHEMA = zod.number().int().min(0).max(MAX_COUNT);

// Tenant, whether the VM gets requests of it (1) or only passes on the total (0), requests sent, in the window, in its latest part,
// waiting, and of all VMs in the window. A tuple has no field names to encode: notices are sent four times a second.
const ROW_SCHEMA = zod.tuple([
  NAME_SCHEMA,
  zod.literal([0, 1]),
  zod.number().int().min(-MAX_COUNT).max(MAX_COUNT),
  COUNT_SCHEMA,
  COUNT_SCHEMA,
  COUNT_SCHEMA,
  COUNT_SCHEMA,
]);

const NOTICE_SCHEMA = zod.object({
  from: NAME_SCHEMA,
  host: NAME_SCHEMA,
  run: COUNT_SCHEMA,
  sequence: COUNT_SCHEMA,
  ageMs: COUNT_SCHEMA,
  standing: zod.enum(['listed', 'joined', 'leaving']),
  inContact: COUNT_SCHEMA,
  usage: zod.array(ROW_SCHEMA).max(MAX_ROWS),
});

type EncodedNotice = zod.infer<typeof NOTICE_SCHEMA>;

/** Encodes and decodes notices by which VMs tell each other what they have sent for the tenants with a quota. */
export class QuotaCodec {
  /**
   * Encodes a notice.
   * @param notice - Notice of the sending VM.
   */
  static encode({ rows, ...notice }: gateway.callers.QuotaNotice): EncodedNotice {
    return {
      ...notice,
      usage: rows.map((row) => [
        row.tenant, row.interest === 'interested' ? 1 : 0, row.sent, Math.round(row.inWindow), Math.round(row.recent), row.pending, row.total,
      ]),
    };
  }

  /**
   * Decodes a notice. Returns undefined if the value is not a valid notice.
   * @param value - Value as received.
   */
  static decode(value: unknown): gateway.callers.QuotaNotice | undefined {
    const parsed = NOTICE_SCHEMA.safeParse(value);
    if (!parsed.success) return undefined;
    const { usage, ...notice } = parsed.data;
    return {
      ...notice,
      rows: usage.map(([tenant, interested, sent, inWindow, recent, pending, total]) => ({
        tenant, interest: interested === 1 ? 'interested' : 'none', sent, inWindow, recent, pending, total,
      })),
    };
  }
}

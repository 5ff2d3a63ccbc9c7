import type * as gateway from '@tamarackferry/gateway';
import * as zod from 'zod';

import * as messageBounds from './MessageBounds.js';

const { NAME_SCHEMA } = messageBounds;
const MAX_ROWS = 1_000;
const MAX_IN_FLIGHT = 10_000;
const MAX_REQUESTS = 1_000_000;
const MAX_LIMIT_PER_SECOND = 1e6;
const MAX_LIMIT_AGE_MS = 86_400_000;
const MAX_SENT = 1e12;

// Instance id, log odds above the prior that the instance has a gray failure (`deviation`), requests in flight. A tuple has no
// field names to encode: notices are sent many times a second, and traffic between places is charged by the byte.
const ROW_SCHEMA = zod.tuple([NAME_SCHEMA, zod.number().min(-20).max(20), zod.number().int().min(0).max(MAX_IN_FLIGHT)]);

// Service, requests that ended recently, and those of them that were not served.
const OUTCOME_SCHEMA = zod.tuple([NAME_SCHEMA, zod.number().int().min(0).max(MAX_REQUESTS), zod.number().int().min(0).max(MAX_REQUESTS)]);

// Limit that an instance states: instance id, requests per second (null if the limit has ended), age of the statement in milliseconds, and
// number of requests that the VM has sent since.
const LIMIT_SCHEMA = zod.tuple([
  NAME_SCHEMA,
  zod.number().min(0).max(MAX_LIMIT_PER_SECOND).nullable(),
  zod.number().int().min(0).max(MAX_LIMIT_AGE_MS),
  zod.number().int().min(0).max(MAX_SENT),
]);

const NOTICE_SCHEMA = zod.object({
  from: NAME_SCHEMA,
  // Rows by service name.
  rows: zod.record(NAME_SCHEMA, zod.array(ROW_SCHEMA).max(MAX_ROWS)),
  // VMs with an earlier version of the program send none, and ignore the field.
  outcomes: zod.array(OUTCOME_SCHEMA).max(MAX_ROWS).default([]),
  // In a field of their own, which VMs with an earlier version of the program ignore.
  limits: zod.array(LIMIT_SCHEMA).max(MAX_ROWS).optional(),
});

type EncodedOutcome = zod.infer<typeof OUTCOME_SCHEMA>;
type EncodedLimit = zod.infer<typeof LIMIT_SCHEMA>;
type EncodedNotice = zod.infer<typeof NOTICE_SCHEMA>;

/** Encodes and decodes notices by which VMs exchange health observations about instances. */
export class EvidenceCodec {
  /**
   * Encodes a notice. Leaves out what a receiver could not read, since it would refuse the whole notice.
   * @param notice - Observations of the sending VM.
   */
  static encode(notice: gateway.vms.EvidenceNotice): EncodedNotice {
    const readable = notice.rows.filter((row) => messageBounds.isName(row.service) && messageBounds.isName(row.instance));
    const byService = new Map<string, EncodedNotice['rows'][string]>();
    readable.forEach((row) => {
      const listed = byService.get(row.service);
      const encoded: EncodedNotice['rows'][string][number] = [row.instance, row.deviation, row.inFlight];
      if (listed === undefined) byService.set(row.service, [encoded]);
      else if (listed.length < MAX_ROWS) listed.push(encoded);
    });
    const rows = Object.fromEntries(byService);
    const outcomes = notice.outcomes.filter(({ service }) => messageBounds.isName(service))
      .map(({ service, requests, unserved }): EncodedOutcome => [service, requests, unserved]);
    const limits = readable.flatMap((row): EncodedLimit[] => (row.limit === undefined
      ? []
      : [[row.instance, row.limit.perSecond ?? null, Math.min(MAX_LIMIT_AGE_MS, row.limit.ageMs), row.limit.sent]]));
    return limits.length === 0 ? { from: notice.from, rows, outcomes } : {
      from: notice.from, rows, outcomes, limits,
    };
  }

  /**
   * Decodes a notice. Returns undefined if the value is not a valid notice.
   * @param value - Value as received.
   */
  static decode(value: unknown): gateway.vms.EvidenceNotice | undefined {
    const parsed = NOTICE_SCHEMA.safeParse(value);
    if (!parsed.success) return undefined;
    const limits = new Map(parsed.data.limits?.map(([instance, perSecond, ageMs, sent]) => [
      instance, { perSecond: perSecond ?? undefined, ageMs, sent },
    ]));
    return {
      from: parsed.data.from,
      outcomes: parsed.data.outcomes.map(([service, requests, unserved]) => ({ service, requests, unserved })),
      rows: Object.entries(parsed.data.rows).flatMap(([service, rows]) => rows.map(([instance, deviation, inFlight]) => ({
        instance, service, deviation, inFlight, limit: limits.get(instance),
      }))),
    };
  }
}

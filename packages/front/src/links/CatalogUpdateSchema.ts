import * as zod from 'zod';

import * as messageBounds from './MessageBounds.js';
import * as storeReportSchema from './StoreReportSchema.js';

const REVISION_SCHEMA = zod.number().int();
const ERA_SCHEMA = storeReportSchema.ERA_SCHEMA.optional();
const MAX_PORT = 65_535;
const TEXT_SCHEMA = zod.string().max(messageBounds.MAX_TEXT_LENGTH);

const ROUTE_SCHEMA = zod.object({
  name: TEXT_SCHEMA,
  host: TEXT_SCHEMA,
  prefix: TEXT_SCHEMA,
  kind: zod.enum(['idempotent', 'non-idempotent']),
  // VMs with an earlier version of the program know no tenants.
  access: zod.enum(['public', 'keyed']).default('public'),
  timeoutMs: zod.number(),
  objectiveMs: zod.number(),
  maxAttempts: zod.number().int(),
  rank: zod.number(),
  targets: zod.array(zod.object({ service: TEXT_SCHEMA, weight: zod.number() })),
});

const TENANT_SCHEMA = zod.object({
  name: TEXT_SCHEMA,
  keyDigests: zod.array(TEXT_SCHEMA),
  rank: zod.number(),
  quota: zod.object({ perSecond: zod.number(), burst: zod.number() }).optional(),
}).transform((tenant) => ({ ...tenant, quota: tenant.quota }));

const CONFIGURATION_SCHEMA = zod.object({
  version: zod.number(),
  routes: zod.array(ROUTE_SCHEMA),
  services: zod.array(zod.object({ name: TEXT_SCHEMA, healthPath: TEXT_SCHEMA, maxConnections: zod.number() })),
  limits: zod.object({
    headerBytes: zod.number(), bodyBytes: zod.number(), headerTimeoutMs: zod.number(), idleTimeoutMs: zod.number(),
  }),
  tenants: zod.array(TENANT_SCHEMA).default([]),
});

const RECORD_SCHEMA = zod.object({
  id: TEXT_SCHEMA,
  service: TEXT_SCHEMA,
  host: TEXT_SCHEMA,
  port: zod.number().int().min(1).max(MAX_PORT),
  place: TEXT_SCHEMA,
  slots: zod.number().int().min(1),
  state: zod.enum(['ready', 'draining']),
  warmupMs: zod.number(),
  // JSON omits fields that are undefined; the transforms add the field again, since the type requires it.
  startedAtMs: zod.number().optional().transform((value): number | undefined => value),
}).transform((record) => ({ ...record, startedAtMs: record.startedAtMs }));

/** Format of one change of the catalog. */
export const CHANGE_SCHEMA = zod.discriminatedUnion('type', [
  zod.object({
    type: zod.literal('configuration'), era: ERA_SCHEMA, revision: REVISION_SCHEMA, configuration: CONFIGURATION_SCHEMA,
  }),
  zod.object({
    type: zod.literal('instance'), id: TEXT_SCHEMA, era: ERA_SCHEMA, revision: REVISION_SCHEMA, record: RECORD_SCHEMA,
  }),
  zod.object({
    type: zod.literal('instance-removed'), id: TEXT_SCHEMA, era: ERA_SCHEMA, revision: REVISION_SCHEMA,
  }),
]);

/** Format of the part of an instance's entry that must be readable for it to be taken as removed. */
export const INSTANCE_REFERENCE_SCHEMA = zod.object({
  type: zod.literal('instance'), id: TEXT_SCHEMA, era: ERA_SCHEMA, revision: REVISION_SCHEMA,
});

/** Format of a catalog update between VMs, with changes that are not decoded yet: those since a revision, or a complete snapshot. */
export const CATALOG_UPDATE_SCHEMA = zod.discriminatedUnion('type', [
  zod.object({
    type: zod.literal('changes'),
    era: ERA_SCHEMA,
    revision: REVISION_SCHEMA,
    afterRevision: REVISION_SCHEMA.optional(),
    confirmedAgeMs: zod.number(),
    store: storeReportSchema.STORE_REPORT_SCHEMA,
    changes: zod.array(zod.unknown()),
  }),
  zod.object({
    type: zod.literal('snapshot'),
    confirmedAgeMs: zod.number(),
    store: storeReportSchema.STORE_REPORT_SCHEMA,
    snapshot: zod.object({
      era: ERA_SCHEMA, eraRevision: REVISION_SCHEMA.optional(), revision: REVISION_SCHEMA, changes: zod.array(zod.unknown()),
    }),
  }),
]);

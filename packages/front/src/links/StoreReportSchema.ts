import * as zod from 'zod';

const AGE_SCHEMA = zod.number().min(0);

/** Format of the era of the store, of which a missing one is 0. */
export const ERA_SCHEMA = zod.number().int().min(0);

/** Format of what a VM tells others about the availability of the store. A VM of an earlier version tells nothing. */
export const STORE_REPORT_SCHEMA = zod.object({
  confirmedForMs: AGE_SCHEMA,
  outage: zod.object({
    startedAgeMs: AGE_SCHEMA,
    failedAgeMs: AGE_SCHEMA,
    endedAgeMs: AGE_SCHEMA,
    returnRevision: zod.number().int(),
    witnesses: zod.array(zod.number().int()).max(2),
  }).optional(),
  // Missing in era 0, and from VMs of an earlier version.
  era: ERA_SCHEMA.optional(),
  eraAgeMs: AGE_SCHEMA.optional(),
  version: zod.number().optional(),
}).default({ confirmedForMs: 0 });

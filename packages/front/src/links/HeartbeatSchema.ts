import * as zod from 'zod';

const STATE_SCHEMA = zod.enum(['starting', 'ready', 'slow', 'leaving']);
const NAME_SCHEMA = zod.string().min(1).max(200);
const MAX_MENTIONS = 100;

const VM_FIELDS = {
  name: NAME_SCHEMA, host: NAME_SCHEMA, place: NAME_SCHEMA, incarnation: NAME_SCHEMA, state: STATE_SCHEMA, capacity: zod.number().min(0),
};

/** Heartbeat as VMs send it. */
export const HEARTBEAT_SCHEMA = zod.object({
  ...VM_FIELDS,
  sequence: zod.number().int(),
  revision: zod.number().int().min(0),
  confirmedAgeMs: zod.number(),
  reply: zod.enum(['wanted', 'none']),
  mentions: zod.array(zod.object({ ...VM_FIELDS, ageMs: zod.number().min(0) })).max(MAX_MENTIONS),
});

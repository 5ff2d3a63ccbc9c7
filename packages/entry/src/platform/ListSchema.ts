import * as zod from 'zod';

const NAME = zod.string().min(1).max(255);
const PORT = zod.int().min(1).max(65_535);
const STATE = zod.enum(['live', 'leaving']);

/** Entry of the list of VMs that the platform publishes: an entry VM or an upstream instance. */
export const LIST_ENTRY_SCHEMA = zod.discriminatedUnion('role', [
  zod.object({
    role: zod.literal('entry'), name: NAME, host: NAME, port: PORT, peerPort: PORT, place: NAME, state: STATE,
  }),
  zod.object({
    role: zod.literal('upstream'), name: NAME, service: NAME, incarnation: NAME, host: NAME, port: PORT, place: NAME, state: STATE,
  }),
]);

/** List of VMs that the platform publishes. Each entry is validated separately, so that an invalid one does not invalidate the list. */
export const LIST_SCHEMA = zod.object({ entries: zod.array(zod.unknown()) });

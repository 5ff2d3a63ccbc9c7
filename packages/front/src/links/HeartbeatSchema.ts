import * as zod from 'zod';

import * as messageBounds from './MessageBounds.js';
import * as storeReportSchema from './StoreReportSchema.js';

const STATE_SCHEMA = zod.enum(['starting', 'ready', 'slow', 'leaving']);
const { NAME_SCHEMA } = messageBounds;
const MAX_MENTIONS = 100;

const AMOUNT_SCHEMA = zod.number().min(0);

// What a VM reports about its load. VMs of an earlier version report nothing, and ignore these fields.
const LOAD_FIELDS = {
  linkCapacityMbps: AMOUNT_SCHEMA.optional(),
  load: zod.object({
    cores: AMOUNT_SCHEMA, linkMbps: AMOUNT_SCHEMA, bears: AMOUNT_SCHEMA, memoryShare: AMOUNT_SCHEMA,
  }).optional(),
  demand: zod.object({ cores: AMOUNT_SCHEMA, linkMbps: AMOUNT_SCHEMA }).optional(),
};

// `incarnation` identifies one start of the process, `capacity` is the number of CPU cores available to the VM.
const VM_FIELDS = {
  name: NAME_SCHEMA,
  host: NAME_SCHEMA,
  place: NAME_SCHEMA,
  incarnation: NAME_SCHEMA,
  state: STATE_SCHEMA,
  capacity: AMOUNT_SCHEMA,
  ...LOAD_FIELDS,
};

/** Format of a heartbeat between VMs. */
export const HEARTBEAT_SCHEMA = zod.object({
  ...VM_FIELDS,
  // Number of the heartbeat within the incarnation of the sender.
  sequence: zod.number().int(),
  // A VM of an earlier version does not state its role; those that send heartbeats to all VMs of their place are watchers.
  role: zod.enum(['watcher', 'follower']).default('watcher'),
  // Store revision that the sender has read, and time since the store or another VM confirmed it.
  revision: zod.number().int().min(0),
  confirmedAgeMs: zod.number(),
  store: storeReportSchema.STORE_REPORT_SCHEMA,
  // Whether the receiver should respond with a heartbeat of its own.
  reply: zod.enum(['wanted', 'none']),
  // Other VMs that the sender has a record of.
  mentions: zod.array(zod.object({ ...VM_FIELDS, ageMs: zod.number().min(0) })).max(MAX_MENTIONS),
});

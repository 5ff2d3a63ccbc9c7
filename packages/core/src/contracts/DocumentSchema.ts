import * as zod from 'zod';

const NAME = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63');

const KIND = zod.strictObject({
  name: NAME,
  method: zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  path_prefix: zod.string().startsWith('/'),
  repeatability: zod.enum(['idempotent', 'non-idempotent']),
  priority: zod.enum(['interactive', 'background']),
  weight: zod.number().min(0),
  deadline_ms: zod.int().min(1).max(600_000),
  on_time_ms: zod.int().min(1).max(600_000),
});

const SERVICE = zod.strictObject({
  name: NAME,
  floor_instances: zod.int().min(0).max(100_000),
  slots_per_instance: zod.int().min(1).max(10_000),
  connections_per_instance: zod.int().min(1).max(100_000),
  detection: zod.enum(['cautious', 'prompt', 'no-ejection', 'consecutive-errors', 'outlier-percentage']),
  request_id_echo: zod.enum(['echoed', 'absent']),
  not_run_answers: zod.enum(['declared', 'absent']),
  answer_digest: zod.enum(['sent', 'absent']),
  kinds: zod.array(KIND).min(1),
});

const PLACE = zod.strictObject({ name: NAME, region: NAME });

const MEMBER = zod.strictObject({
  name: NAME,
  counting: zod.enum(['weighted-on-time', 'lookups-on-time']),
  share: zod.number().min(0.01).max(1_000),
  key_digest: zod.string().regex(/^([0-9a-f]{64})?$/, 'empty or 64 hexadecimal digits'),
});

/** Fields of a configuration document, in the order in which the console writes them. */
export const DOCUMENT_SCHEMA = zod.strictObject({
  format: zod.literal(1),
  deployment: NAME,
  version: zod.int().min(1),
  base_digest: zod.string().regex(/^([0-9a-f]{64})?$/, 'empty or 64 hexadecimal digits'),
  places: zod.array(PLACE).min(1),
  services: zod.array(SERVICE).min(1),
  members: zod.array(MEMBER).min(1),
});

/** Fields of a configuration document as they stand in its TOML text. */
export type DocumentFields = zod.infer<typeof DOCUMENT_SCHEMA>;

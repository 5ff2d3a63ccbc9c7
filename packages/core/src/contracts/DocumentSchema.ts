import * as zod from 'zod';

const NAME = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63');

function reportDuplicates(items: readonly { readonly key: string }[], field: string, context: zod.RefinementCtx): void {
  items.forEach((item, index) => {
    if (items.findIndex((other) => other.key === item.key) === index) return;
    context.addIssue({ code: 'custom', path: [index, field], message: `a unique value, ${item.key} occurs more than once` });
  });
}

/** List of tables with unique names. */
function listNamed<Item extends zod.ZodType<{ readonly name: string }>>(item: Item): zod.ZodArray<Item> {
  return zod.array(item).min(1, 'at least one').superRefine((items, context) => {
    reportDuplicates(items.map(({ name }) => ({ key: name })), 'name', context);
  });
}

const KIND = zod.strictObject({
  name: NAME,
  method: zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  path_prefix: zod.string().startsWith('/'),
  repeatability: zod.enum(['idempotent', 'non-idempotent']),
  priority: zod.enum(['interactive', 'background']),
  weight: zod.number().min(0),
  deadline_ms: zod.int().min(1).max(600_000),
  on_time_ms: zod.int().min(1).max(600_000),
}).refine((kind) => kind.on_time_ms <= kind.deadline_ms, { path: ['on_time_ms'], message: 'at most the deadline of the kind' });

const KINDS = listNamed(KIND).superRefine((kinds, context) => {
  reportDuplicates(kinds.map((kind) => ({ key: `${kind.method} ${kind.path_prefix}` })), 'path_prefix', context);
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
  kinds: KINDS,
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
  places: listNamed(PLACE),
  services: listNamed(SERVICE),
  members: listNamed(MEMBER),
});

/** Fields of a configuration document as written in its TOML text. */
export type DocumentFields = zod.infer<typeof DOCUMENT_SCHEMA>;

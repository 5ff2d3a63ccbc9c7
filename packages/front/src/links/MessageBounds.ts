import * as zod from 'zod';

// Objects do not keep a property of this name apart from their prototype.
const RESERVED_NAME = '__proto__';

const MAX_NAME_LENGTH = 200;

/** Greatest length of any other text in a message between VMs: no value of the store is longer. */
export const MAX_TEXT_LENGTH = 1_048_576;

/** Schema of the name of a VM, a place, a service, an instance or a tenant, as VMs send it to each other several times a second. */
export const NAME_SCHEMA = zod.string().min(1).max(MAX_NAME_LENGTH)
  .refine((name) => name !== RESERVED_NAME, `${RESERVED_NAME} is not allowed as a name`);

/**
 * Whether VMs can send each other a name.
 * @param name - Name.
 */
export function isName(name: string): boolean {
  return name.length > 0 && name.length <= MAX_NAME_LENGTH && name !== RESERVED_NAME;
}

/**
 * Whether an object, as parsed from JSON, has a property with the reserved name, which would be lost.
 * @param value - Parsed value.
 */
export function hasReservedName(value: unknown): boolean {
  return Object.hasOwn(Object(value) as object, RESERVED_NAME);
}

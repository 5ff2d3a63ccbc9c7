import * as neverthrow from 'neverthrow';
import * as smolToml from 'smol-toml';
import type * as zod from 'zod';

/** Reason why a TOML text is invalid. */
export type TomlFailure =
  | { readonly type: 'syntax'; readonly line: number; readonly detail: string }
  | { readonly type: 'field'; readonly field: string; readonly line: number; readonly found: string; readonly expected: string };

function parseText(text: string): neverthrow.Result<unknown, TomlFailure> {
  return neverthrow.fromThrowable(smolToml.parse, (error): TomlFailure => ({
    type: 'syntax',
    line: error instanceof smolToml.TomlError ? error.line : 0,
    detail: error instanceof smolToml.TomlError ? error.message.split('\n')[0] ?? '' : 'invalid TOML',
  }))(text);
}

// Finds the line (from 1) of the field at a path, or of the first line of its table if the field is absent. The tables of an array
// are written in order, so the n-th header `[[table]]` is followed by the fields of the n-th table.
function findLine(text: string, path: readonly PropertyKey[]): number {
  const lines = text.split('\n').map((line) => line.trim());
  const sectionStart = path.reduce<number>((previousHeader, key, depth) => {
    const table = path.slice(0, depth + 1).filter((part) => typeof part === 'string').join('.');
    const header = typeof key === 'number' ? `[[${table}]]` : `[${table}]`;
    const headers = lines.flatMap((line, index) => (index >= previousHeader && line === header ? [index] : []));
    return headers[typeof key === 'number' ? key : 0] ?? previousHeader;
  }, 0);
  const name = path.findLast((part) => typeof part === 'string');
  const offset = lines.slice(sectionStart).findIndex((line) => line.startsWith(`${String(name)} `) || line.startsWith(`${String(name)}=`));
  return offset < 0 ? sectionStart + 1 : sectionStart + offset + 1;
}

/** Parses TOML texts and validates them by a schema. A failure contains the line and, for a schema mismatch, the field. */
export class TomlReader<Fields> {
  /** @param schema - Schema of the fields. */
  constructor(private readonly schema: zod.ZodType<Fields>) {}

  /**
   * Parses a text and validates its fields.
   * @param text - TOML text.
   */
  read(text: string): neverthrow.Result<Fields, TomlFailure> {
    return parseText(text).andThen((value) => this.check(value, text));
  }

  /**
   * Validates fields that are already parsed.
   * @param value - Parsed fields.
   * @param text - Text from which they were parsed, to find the line of an invalid field.
   */
  check(value: unknown, text: string): neverthrow.Result<Fields, TomlFailure> {
    const parsed = this.schema.safeParse(value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const issue = parsed.error.issues[0];
    // For an unknown key, the issue contains the key apart from the path.
    const unknownKeys = issue?.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
    const path = [...issue?.path ?? [], ...unknownKeys];
    const found = path.reduce<unknown>((part, key) => (part as Record<PropertyKey, unknown> | undefined)?.[key], value);
    return neverthrow.err({
      type: 'field',
      field: path.map(String).join('.'),
      line: findLine(text, path),
      found: JSON.stringify(found) ?? 'nothing',
      expected: unknownKeys.length > 0 ? 'a known field' : issue?.message ?? 'a valid value',
    });
  }

  /**
   * Describes a failure in one line.
   * @param failure - Failure of `read`.
   */
  static describeFailure(failure: TomlFailure): string {
    return failure.type === 'syntax'
      ? `line ${failure.line}: ${failure.detail}`
      : `line ${failure.line}: field ${failure.field}: found ${failure.found}, expected ${failure.expected}`;
  }
}

import type * as gateway from '@tamarackferry/gateway';
import * as neverthrow from 'neverthrow';

import * as catalogUpdateSchema from './CatalogUpdateSchema.js';

type Change = gateway.contracts.CatalogChange;

/** Catalog update of another VM, as far as it can be read. */
export interface DecodedUpdate {
  readonly update: gateway.contracts.CatalogUpdate;
  /** Fields at which the entries of instances could not be read. These instances are not used. */
  readonly unreadableFields: readonly string[];
}

interface DecodedChanges {
  readonly changes: readonly Change[];
  readonly unreadableFields: readonly string[];
}

type DecodedChange =
  | { readonly type: 'change'; readonly change: Change; readonly field: string | undefined }
  | { readonly type: 'unreadable'; readonly field: string };

/**
 * Decodes catalog updates of other VMs, which may run another version of the program. An entry of an instance that cannot be read must not
 * cost the configuration beside it, so it is taken for the removal of the instance. Otherwise the update is refused as a whole.
 */
export class CatalogUpdateDecoder {
  /**
   * Decodes an update. The error is the first field at which it cannot be read.
   * @param value - Update as received.
   */
  static decode(value: unknown): neverthrow.Result<DecodedUpdate, string> {
    const parsed = catalogUpdateSchema.CATALOG_UPDATE_SCHEMA.safeParse(value);
    if (!parsed.success) return neverthrow.err(parsed.error.issues[0]?.path.join('.') ?? '');
    const { data } = parsed;
    return data.type === 'changes'
      ? CatalogUpdateDecoder.decodeChanges(data.changes, 'changes')
        .map(({ changes, unreadableFields }) => ({ update: { ...data, changes }, unreadableFields }))
      : CatalogUpdateDecoder.decodeChanges(data.snapshot.changes, 'snapshot.changes')
        .map(({ changes, unreadableFields }) => ({ update: { ...data, snapshot: { ...data.snapshot, changes } }, unreadableFields }));
  }

  private static decodeChanges(values: readonly unknown[], path: string): neverthrow.Result<DecodedChanges, string> {
    const decoded = values.map((value, index) => CatalogUpdateDecoder.decodeChange(value, `${path}.${index}`));
    const failure = decoded.find((result) => result.type === 'unreadable');
    if (failure !== undefined) return neverthrow.err(failure.field ?? path);
    return neverthrow.ok({
      changes: decoded.flatMap((result) => (result.type === 'change' ? [result.change] : [])),
      unreadableFields: decoded.flatMap((result) => result.field ?? []),
    });
  }

  private static decodeChange(value: unknown, path: string): DecodedChange {
    const change = catalogUpdateSchema.CHANGE_SCHEMA.safeParse(value);
    if (change.success) return { type: 'change', change: change.data, field: undefined };
    const field = [path, ...change.error.issues[0]?.path ?? []].join('.');
    const reference = catalogUpdateSchema.INSTANCE_REFERENCE_SCHEMA.safeParse(value);
    return reference.success
      ? { type: 'change', change: { ...reference.data, type: 'instance-removed' }, field }
      : { type: 'unreadable', field };
  }
}

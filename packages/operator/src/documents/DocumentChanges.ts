import type * as core from '@tamarackferry/core';

/** Difference in one field between two documents. */
export interface DocumentChange {
  readonly type: 'added' | 'removed' | 'changed';
  /** Path of the field: keys and names of list items, separated by spaces, such as `services orders kinds status deadline_ms`. */
  readonly path: string;
  readonly before: string;
  readonly after: string;
}

// Set by the console for each version, not by the operator; excluded from the comparison.
const GENERATED_FIELDS = new Set(['format', 'version', 'base_digest']);

function listFieldValues(value: unknown, path: string): readonly (readonly [string, string])[] {
  if (Array.isArray(value)) {
    return value.flatMap((item: unknown) => listFieldValues(item, `${path} ${(item as { name?: string }).name ?? ''}`));
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value).filter(([key]) => !GENERATED_FIELDS.has(key)).flatMap(([key, child]) => listFieldValues(child, `${path} ${key}`.trim()));
  }
  return [[path, String(value)]];
}

/** Computes the differences between the published document and a draft. */
export class DocumentChanges {
  /**
   * Compares two documents field by field. Items of a list are matched by name.
   * @param before - Published fields, or undefined if no document is published.
   * @param after - Fields of the draft.
   */
  static compare(before: core.contracts.DocumentFields | undefined, after: core.contracts.DocumentFields): readonly DocumentChange[] {
    const publishedValues = new Map(before === undefined ? [] : listFieldValues(before, ''));
    const draftValues = new Map(listFieldValues(after, ''));
    const changed = [...draftValues].flatMap(([path, value]): DocumentChange[] => {
      const previous = publishedValues.get(path);
      if (previous === value) return [];
      return [{
        type: previous === undefined ? 'added' : 'changed', path, before: previous ?? '', after: value,
      }];
    });
    const removed = [...publishedValues].filter(([path]) => !draftValues.has(path)).map(([path, value]): DocumentChange => ({
      type: 'removed', path, before: value, after: '',
    }));
    return [...changed, ...removed];
  }
}

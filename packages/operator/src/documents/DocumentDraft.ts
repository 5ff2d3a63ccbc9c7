import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as draftField from './DraftField.js';
import * as draftSections from './draftSections.js';

/** Item of a draft, such as a service: the values of its form inputs as entered and its lists of nested items, each by key. */
export interface DraftItem {
  readonly inputValues: Readonly<Record<string, string>>;
  readonly lists: Readonly<Record<string, readonly DraftItem[]>>;
}

/** Invalid value of one field of a draft. */
export interface DraftProblem {
  /** Dotted path of the field, which is also the name of its form input, such as `services.0.kinds.1.deadline_ms`. */
  readonly field: string;
  /** Value that was found, as JSON. */
  readonly found: string;
  /** Validation message that describes the expected value. */
  readonly expected: string;
}

/** Published version from which a draft was started. */
export interface DraftBase {
  readonly deployment: string;
  readonly version: number;
  /** SHA-256 digest of the text of the published version, in hexadecimal; empty if none is published. */
  readonly digest: string;
}

/** Configuration document that an operator edits in the form. Drafts are immutable; each change returns a new draft. */
export class DocumentDraft {
  private constructor(
    readonly base: DraftBase,
    private readonly root: DraftItem,
  ) {}

  /**
   * Creates a draft with one empty item in each section.
   * @param deployment - Name of the deployment.
   */
  static createEmpty(deployment: string): DocumentDraft {
    const root: DraftItem = {
      inputValues: {},
      lists: Object.fromEntries(draftSections.DRAFT_SECTIONS.map((section) => [section.key, [DocumentDraft.createItem(section)]])),
    };
    return new DocumentDraft({ deployment, version: 0, digest: '' }, root);
  }

  /**
   * Creates a draft from the published fields.
   * @param fields - Fields of the published document.
   * @param digest - SHA-256 digest of the text of the published document, in hexadecimal.
   */
  static fromFields(fields: core.contracts.DocumentFields, digest: string): DocumentDraft {
    const base = { deployment: fields.deployment, version: fields.version, digest };
    return new DocumentDraft(base, DocumentDraft.buildItemFromFields(fields, { fields: [], sections: draftSections.DRAFT_SECTIONS }));
  }

  /**
   * Creates a draft from the inputs of the form.
   * @param form - Submitted form inputs.
   */
  static fromForm(form: URLSearchParams): DocumentDraft {
    const base = {
      deployment: form.get('base.deployment') ?? '',
      version: Number(form.get('base.version') ?? 0),
      digest: form.get('base.digest') ?? '',
    };
    return new DocumentDraft(base, DocumentDraft.buildItemFromForm(form, '', { fields: [], sections: draftSections.DRAFT_SECTIONS }));
  }

  /**
   * Gets the items of a list.
   * @param path - Dotted path of the list, such as `services.0.kinds`.
   */
  getItems(path: string): readonly DraftItem[] {
    const keys = path.split('.');
    const findItems = (item: DraftItem | undefined, rest: readonly string[]): readonly DraftItem[] => {
      const items = item?.lists[rest[0] ?? ''] ?? [];
      return rest.length <= 1 ? items : findItems(items[Number(rest[1])], rest.slice(2));
    };
    return findItems(this.root, keys);
  }

  /**
   * Returns a draft with a new item appended to a list; the same draft if the list does not exist.
   * @param path - Dotted path of the list.
   */
  addItem(path: string): DocumentDraft {
    const section = DocumentDraft.findSection(path);
    return section === undefined ? this : this.updateList(path, (items) => [...items, DocumentDraft.createItem(section)]);
  }

  /**
   * Returns a draft in which an item is removed.
   * @param path - Dotted path of the item, such as `services.0`.
   */
  removeItem(path: string): DocumentDraft {
    const separator = path.lastIndexOf('.');
    const index = Number(path.slice(separator + 1));
    return this.updateList(path.slice(0, separator), (items) => items.filter((_, itemIndex) => itemIndex !== index));
  }

  /** Validates the draft and returns the fields of the document, or the problems found in them. */
  validate(): neverthrow.Result<core.contracts.DocumentFields, readonly DraftProblem[]> {
    const value = {
      format: 1,
      deployment: this.base.deployment,
      version: this.base.version + 1,
      base_digest: this.base.digest,
      ...DocumentDraft.buildFieldValues(this.root, { fields: [], sections: draftSections.DRAFT_SECTIONS }),
    };
    const parsed = core.contracts.DOCUMENT_SCHEMA.safeParse(value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return neverthrow.err(parsed.error.issues.map((issue) => {
      const found = issue.path.reduce<unknown>((part, key) => (part as Record<PropertyKey, unknown> | undefined)?.[key], value);
      return { field: issue.path.map(String).join('.'), found: JSON.stringify(found) ?? 'nothing', expected: issue.message };
    }));
  }

  private updateList(path: string, change: (items: readonly DraftItem[]) => readonly DraftItem[]): DocumentDraft {
    const updateItem = (item: DraftItem, [key = '', index, ...rest]: readonly string[]): DraftItem => {
      const items = item.lists[key] ?? [];
      const changed = index === undefined
        ? change(items)
        : items.map((child, childIndex) => (childIndex === Number(index) ? updateItem(child, rest) : child));
      return { inputValues: item.inputValues, lists: { ...item.lists, [key]: changed } };
    };
    return new DocumentDraft(this.base, updateItem(this.root, path.split('.')));
  }

  private static findSection(path: string): draftField.DraftSection | undefined {
    const keys = path.split('.').filter((key) => !/^\d+$/.test(key));
    return keys.reduce<{ sections: readonly draftField.DraftSection[]; found: draftField.DraftSection | undefined }>((state, key) => {
      const found = state.sections.find((section) => section.key === key);
      return { sections: found?.sections ?? [], found };
    }, { sections: draftSections.DRAFT_SECTIONS, found: undefined }).found;
  }

  private static createItem(section: draftField.DraftSection): DraftItem {
    return {
      inputValues: Object.fromEntries(section.fields.map((field) => [field.key, field.initial])),
      lists: Object.fromEntries(section.sections.map((inner) => [inner.key, [DocumentDraft.createItem(inner)]])),
    };
  }

  private static buildItemFromFields(value: object, schema: Pick<draftField.DraftSection, 'fields' | 'sections'>): DraftItem {
    const record = value as Record<string, unknown>;
    return {
      inputValues: Object.fromEntries(schema.fields.map((field) => [field.key, String(record[field.key] ?? '')])),
      lists: Object.fromEntries(schema.sections.map((section) => [
        section.key, (record[section.key] as object[] | undefined ?? []).map((item) => DocumentDraft.buildItemFromFields(item, section)),
      ])),
    };
  }

  private static buildItemFromForm(form: URLSearchParams, prefix: string, schema: Pick<draftField.DraftSection, 'fields' | 'sections'>): DraftItem {
    return {
      inputValues: Object.fromEntries(schema.fields.map((field) => [field.key, form.get(`${prefix}${field.key}`)?.trim() ?? ''])),
      lists: Object.fromEntries(schema.sections.map((section) => {
        const length = Number(form.get(`${prefix}${section.key}.length`) ?? 0);
        // The limit bounds the memory that a form with a forged list length can claim.
        const items = Array.from({ length: Math.min(length, 10_000) }, (_, index) => (
          DocumentDraft.buildItemFromForm(form, `${prefix}${section.key}.${index}.`, section)));
        return [section.key, items];
      })),
    };
  }

  private static buildFieldValues(item: DraftItem, schema: Pick<draftField.DraftSection, 'fields' | 'sections'>): Record<string, unknown> {
    return Object.fromEntries([
      ...schema.fields.map((field) => [field.key, DocumentDraft.parseInputText(item.inputValues[field.key] ?? '', field)]),
      ...schema.sections.map((section) => [
        section.key, (item.lists[section.key] ?? []).map((inner) => DocumentDraft.buildFieldValues(inner, section)),
      ]),
    ] as [string, unknown][]);
  }

  private static parseInputText(text: string, field: draftField.DraftField): unknown {
    if (field.input !== 'integer' && field.input !== 'number') return text;
    const number = Number(text);
    return text === '' || Number.isNaN(number) ? text : number;
  }
}

/** Describes one input of the document form. */
export interface DraftField {
  readonly key: string;
  readonly label: string;
  /** Short help text below the input, with the unit if there is one. */
  readonly hint: string;
  readonly input: 'text' | 'integer' | 'number' | 'choice';
  readonly choices?: readonly string[];
  /** Initial value of the input in a new item. */
  readonly initial: string;
  readonly pattern?: string;
  readonly minimum?: number;
}

/** Describes a list of items in the document form, such as the services. Its items can contain nested lists (`sections`). */
export interface DraftSection {
  readonly key: string;
  readonly title: string;
  /** Word for one item in legends and buttons, such as `service`. */
  readonly itemLabel: string;
  readonly fields: readonly DraftField[];
  readonly sections: readonly DraftSection[];
}

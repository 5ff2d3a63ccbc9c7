/** Describes one input of the console's form. */
export interface DraftField {
  readonly key: string;
  readonly label: string;
  /** Short help below the input, with the unit where there is one. */
  readonly hint: string;
  readonly input: 'text' | 'integer' | 'number' | 'choice';
  readonly choices?: readonly string[];
  /** Value of a new item. */
  readonly initial: string;
  readonly pattern?: string;
  readonly minimum?: number;
}

/** Describes a list of items in the console's form. */
export interface DraftSection {
  readonly key: string;
  readonly title: string;
  /** Name of one item, for legends and buttons. */
  readonly itemLabel: string;
  readonly fields: readonly DraftField[];
  readonly sections: readonly DraftSection[];
}

import type * as traceFailure from './TraceFailure.js';

const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1, s: 1_000, m: 60_000, h: 3_600_000,
};

const NAME = /^[A-Za-z0-9][A-Za-z0-9-]*$/;

/** Reads the words and `key=value` fields of one line. Keeps the first failure; later reads give harmless values. */
export class LineReader {
  private readonly words: readonly string[];

  private readonly fields: ReadonlyMap<string, string>;

  private readonly used = new Set<string>();

  private next = 0;

  private reason: string | undefined;

  /**
   * @param text - Line without a comment.
   * @param line - Line number.
   * @param preset - Preset that the line stands in, or an empty text.
   */
  constructor(readonly text: string, readonly line: number, readonly preset: string) {
    const parts = text.trim().split(/\s+/);
    this.words = parts.filter((part) => !part.includes('='));
    this.fields = new Map(parts.filter((part) => part.includes('=')).map((part) => {
      const position = part.indexOf('=');
      return [part.slice(0, position), part.slice(position + 1)];
    }));
  }

  /**
   * Takes the next word.
   * @param expected - What the word stands for, for the failure.
   */
  takeWord(expected: string): string {
    const word = this.words[this.next];
    this.next += 1;
    if (word === undefined) this.refuse(`${expected} is missing`);
    return word ?? '';
  }

  /**
   * Takes the next word, which must be a name.
   * @param expected - What the name stands for.
   */
  takeName(expected: string): string {
    const word = this.takeWord(expected);
    if (word !== '' && !NAME.test(word)) this.refuse(`${expected} "${word}" is not a name of letters, digits and hyphens`);
    return word;
  }

  /**
   * Takes the next word, which must be one of several.
   * @param expected - What the word stands for.
   * @param choices - Allowed words.
   */
  takeChoice<Choice extends string>(expected: string, choices: readonly Choice[]): Choice {
    const word = this.takeWord(expected);
    return this.matchChoice(expected, word, choices);
  }

  /**
   * Takes the next word, which must be a duration.
   * @param expected - What the duration stands for.
   */
  takeDurationMs(expected: string): number {
    return this.parseDurationMs(expected, this.takeWord(expected));
  }

  /**
   * Takes the next word, which must be a number.
   * @param expected - What the number stands for.
   */
  takeNumber(expected: string): number {
    return this.parseNumber(expected, this.takeWord(expected));
  }

  /**
   * Reads a field as text.
   * @param key - Name of the field.
   * @param fallback - Value of a missing field; without one the field is required.
   */
  readText(key: string, fallback?: string): string {
    this.used.add(key);
    const value = this.fields.get(key) ?? fallback;
    if (value === undefined) this.refuse(`field ${key}= is missing`);
    return value ?? '';
  }

  /**
   * Reads a field that must be one of several words.
   * @param key - Name of the field.
   * @param choices - Allowed words.
   * @param fallback - Value of a missing field.
   */
  readChoice<Choice extends string>(key: string, choices: readonly Choice[], fallback?: Choice): Choice {
    return this.matchChoice(key, this.readText(key, fallback), choices);
  }

  /**
   * Reads a field as a duration.
   * @param key - Name of the field.
   * @param fallbackMs - Value of a missing field in milliseconds.
   */
  readDurationMs(key: string, fallbackMs?: number): number {
    return this.parseDurationMs(key, this.readText(key, fallbackMs === undefined ? undefined : `${fallbackMs}ms`));
  }

  /**
   * Reads a field as a number; a percentage counts as its hundredth part.
   * @param key - Name of the field.
   * @param fallback - Value of a missing field.
   */
  readNumber(key: string, fallback?: number): number {
    return this.parseNumber(key, this.readText(key, fallback === undefined ? undefined : String(fallback)));
  }

  /**
   * Returns whether the line has a field.
   * @param key - Name of the field.
   */
  hasField(key: string): boolean {
    return this.fields.has(key);
  }

  /**
   * Refuses the line; the first reason stands.
   * @param reason - Why the line is refused.
   */
  refuse(reason: string): void {
    this.reason ??= reason;
  }

  /** Checks that all words and fields were read, and returns the failure of the line if there is one. */
  end(): traceFailure.TraceFailure | undefined {
    const extra = this.words.slice(this.next)[0] ?? [...this.fields.keys()].find((key) => !this.used.has(key));
    if (extra !== undefined) this.refuse(`"${extra}" is not expected here`);
    return this.reason === undefined ? undefined : {
      type: 'trace-failure', preset: this.preset, line: this.line, reason: this.reason,
    };
  }

  private matchChoice<Choice extends string>(expected: string, word: string, choices: readonly Choice[]): Choice {
    const found = choices.find((choice) => choice === word);
    if (found === undefined) this.refuse(`${expected} "${word}" is none of ${choices.join(', ')}`);
    return found ?? choices[0]!;
  }

  private parseDurationMs(expected: string, word: string): number {
    const match = DURATION.exec(word);
    if (match === null) this.refuse(`${expected} "${word}" is not a duration such as 500ms, 10s, 5m or 2h`);
    return match === null ? 0 : Number(match[1]) * UNIT_MS[match[2]!]!;
  }

  private parseNumber(expected: string, word: string): number {
    const percent = word.endsWith('%');
    const value = Number(percent ? word.slice(0, -1) : word);
    if (word === '' || !Number.isFinite(value)) this.refuse(`${expected} "${word}" is not a number`);
    return percent ? value / 100 : value;
  }
}

/** Why a trace cannot be read. */
export interface TraceFailure {
  readonly type: 'trace-failure';
  /** Name of the preset that the line stands in; empty for the trace itself. */
  readonly preset: string;
  /** Line number from 1; 0 if the failure concerns the whole text. */
  readonly line: number;
  readonly reason: string;
}

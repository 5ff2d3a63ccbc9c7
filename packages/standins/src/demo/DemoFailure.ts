/** Reason why the demo cannot go on. */
export type DemoFailure =
  | { readonly type: 'preset-invalid'; readonly preset: string; readonly detail: string }
  | { readonly type: 'process-ended'; readonly process: string; readonly detail: string }
  | { readonly type: 'not-reached'; readonly condition: string };

/**
 * Describes a failure in one sentence.
 * @param failure - Failure to describe.
 */
export function describeFailure(failure: DemoFailure): string {
  switch (failure.type) {
    case 'preset-invalid': return `preset ${failure.preset} cannot be used, ${failure.detail}`;
    case 'process-ended': return `${failure.process} ended before it listened, ${failure.detail}`;
    default: return `not reached in time: ${failure.condition}`;
  }
}

/** Load of an instance as reported in its answer: numbers of requests, and of slots. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/**
 * Limit that an instance states in an answer: the number of requests per second that it accepts from all VMs together.
 * - `none`: the answer states no limit.
 * - `unreadable`: the value is not a number that can be a limit, so that the answer says nothing about it.
 */
export type StatedLimit =
  | { readonly type: 'stated'; readonly perSecond: number }
  | { readonly type: 'none' }
  | { readonly type: 'unreadable'; readonly text: string };

/** What an instance states about itself in an answer. */
export interface InstanceStatement {
  /** Load that it reports; undefined if it reports none. */
  readonly load: ReportedLoad | undefined;
  readonly limit: StatedLimit;
  /** `leaving`: the process of the instance will exit and is to get no new requests. */
  readonly presence: 'staying' | 'leaving';
}

/** Statement of an answer that says nothing about the instance. */
export const EMPTY_STATEMENT: InstanceStatement = { load: undefined, limit: { type: 'none' }, presence: 'staying' };

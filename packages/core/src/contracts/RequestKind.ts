/** Declares how one kind of request of a service is handled. */
export interface RequestKind {
  /** Name, unique in the service. */
  readonly name: string;
  /** HTTP method that the kind matches. */
  readonly method: string;
  /** Prefix of the path below the service that the kind matches. The kind with the longest matching prefix applies. */
  readonly pathPrefix: string;
  /** Whether the upstream may run the request more than once without harm. */
  readonly repeatability: 'idempotent' | 'non-idempotent';
  /** Priority class for admission: interactive requests are admitted before background requests. */
  readonly priority: 'interactive' | 'background';
  /** Weight of the kind in a member's weighted count. */
  readonly weight: number;
  /** Deadline of requests that specify none, in milliseconds. */
  readonly deadlineMs: number;
  /** Time within which an answer counts as on time, in milliseconds. */
  readonly onTimeMs: number;
}

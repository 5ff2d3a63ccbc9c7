import type * as grayMode from './GrayMode.js';

/** Reply of a fake instance to one run. */
export interface InstanceReply {
  readonly answer: grayMode.RunEffect['answer'] | 'healthy';
  /** Token of the request that the answer belongs to. */
  readonly token: string;
  readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
  readonly drain: 'leaving' | undefined;
  readonly load: number | undefined;
}

/** Options of an `UpstreamRun`. */
export interface UpstreamRunOptions {
  /** Token of the caller's request; empty for a probe. */
  readonly token: string;
  readonly serviceTimeMs: number;
  /** Time after which nobody waits for the answer, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly cancellation: 'confirmed' | 'silent';
  /** Receives the reply as it leaves the instance. */
  readonly reply: (reply: InstanceReply) => void;
  /** Called when the instance dies before it replied. */
  readonly reset: () => void;
}

/** Work that a fake instance was given. */
export class UpstreamRun {
  private current: 'queued' | 'running' | 'ended' = 'queued';

  /** @param options - Request and receivers of the reply. */
  constructor(readonly options: UpstreamRunOptions) {}

  /** Whether the work waits, holds a slot or has ended. */
  get state(): 'queued' | 'running' | 'ended' {
    return this.current;
  }

  /** Notes that the work holds a slot. */
  begin(): void {
    this.current = 'running';
  }

  /** Notes that the work has ended. */
  end(): void {
    this.current = 'ended';
  }
}

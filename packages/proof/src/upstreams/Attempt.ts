import type * as vms from '../vms/index.js';
import type * as fakeInstance from './FakeInstance.js';
import type * as upstreamRun from './UpstreamRun.js';

/** Options of an `Attempt`. */
export interface AttemptOptions {
  readonly machine: vms.FakeMachine;
  /** Process of the machine that sent the attempt. */
  readonly run: number;
  readonly attemptId: string;
  readonly instance: fakeInstance.FakeInstance;
  readonly echo: 'echoed' | 'absent';
  readonly deadlineAtMs: number;
}

/** Attempt of a fake VM on its connection to a fake instance. */
export class Attempt {
  private current: 'open' | 'ended' = 'open';

  private given: upstreamRun.UpstreamRun | undefined;

  /** @param options - Sender, instance and deadline. */
  constructor(readonly options: AttemptOptions) {}

  /** Whether the VM still waits for a result. */
  get state(): 'open' | 'ended' {
    return this.current;
  }

  /** Work that the instance was given, if the attempt has arrived. */
  get work(): upstreamRun.UpstreamRun | undefined {
    return this.given;
  }

  /**
   * Keeps the work that the instance was given.
   * @param work - Work at the instance.
   */
  setWork(work: upstreamRun.UpstreamRun): void {
    this.given = work;
  }

  /** Ends the attempt. */
  end(): void {
    this.current = 'ended';
  }
}

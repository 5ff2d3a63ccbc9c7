import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import * as meters from '../meters/index.js';
import * as promises from '../promises/index.js';
import * as worlds from '../worlds/index.js';

/** Options of an `ObservedWorld`. */
export interface ObservedWorldOptions {
  readonly plan: contracts.DeploymentPlan;
  readonly seed: number;
  /** Rules that replace the default ones on every VM. */
  readonly rules?: Partial<core.vms.VmRules>;
  readonly digest?: 'kept' | 'none';
}

/** World with the checks of all promises and the meters. */
export class ObservedWorld {
  readonly world: worlds.ProofWorld;

  readonly injector: worlds.ActionInjector;

  readonly services = new meters.ServiceMeter();

  readonly detection: meters.DetectionMeter;

  readonly ejections: meters.EjectionMeter;

  readonly configuration: promises.ConfigurationCheck;

  private readonly checks: readonly promises.PromiseCheck[];

  /** @param options - Deployment and seed. */
  constructor(options: ObservedWorldOptions) {
    this.world = new worlds.ProofWorld(options);
    this.detection = new meters.DetectionMeter(this.world);
    this.ejections = new meters.EjectionMeter(this.world);
    this.configuration = new promises.ConfigurationCheck(this.world);
    this.checks = [
      new promises.FloorCheck(this.world),
      new promises.ResponseCheck(this.world),
      new promises.ExecutionCheck(this.world),
      new promises.DrainCheck(this.world),
      new promises.ShutdownCheck(this.world),
      this.configuration,
    ];
    const observers = [this.services, this.detection, this.ejections, ...this.checks];
    this.world.subscribe({ post: (event) => observers.forEach((observer) => observer.handle(event)) });
    this.world.start();
    this.injector = new worlds.ActionInjector(this.world);
  }

  /** Lists the promises that were broken so far, in the order of their times. */
  listViolations(): readonly promises.Violation[] {
    return this.checks.flatMap((check) => check.listViolations()).sort((left, right) => left.atMs - right.atMs);
  }

  /**
   * Advances to a time and applies an action.
   * @param atMs - Time in milliseconds.
   * @param action - Action to apply.
   */
  injectAt(atMs: number, action: worlds.WorldAction): void {
    this.world.advanceTo(atMs);
    this.injector.inject(action);
  }
}

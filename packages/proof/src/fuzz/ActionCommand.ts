import type * as fastCheck from 'fast-check';

import type * as fuzzModel from './FuzzModel.js';
import type * as fuzzRun from './FuzzRun.js';

// With fewer VMs the fleet has nobody left to keep the newest document.
const LIVE_VMS = 3;

/** Options of an `ActionCommand`. */
export interface ActionCommandOptions {
  readonly gapMs: number;
  /** Action as in a trace; `{new}` stands for the name of a new request and `{old}` for that of an earlier one. */
  readonly template: string;
  /** Chooses the earlier request. */
  readonly pick: number;
  /** Number of VMs of the deployment. */
  readonly vms: number;
}

/** Fuzzed action on a world. */
export class ActionCommand implements fastCheck.Command<fuzzModel.FuzzModel, fuzzRun.FuzzRun> {
  /** @param options - Action and time. */
  constructor(private readonly options: ActionCommandOptions) {}

  /**
   * Returns whether the action makes sense now.
   * @param model - State so far.
   */
  check(model: Readonly<fuzzModel.FuzzModel>): boolean {
    const [verb = '', target = ''] = this.options.template.split(' ');
    switch (verb) {
      case 'repeat':
      case 'cancel':
        return model.requests > 0;
      case 'kill':
      case 'stop':
      case 'freeze':
        return !target.startsWith('vm-') || this.options.vms - model.dead.size - model.frozen.size > LIVE_VMS;
      case 'thaw':
        return model.frozen.has(target);
      default:
        return true;
    }
  }

  /**
   * Applies the action.
   * @param model - State so far; updated.
   * @param run - World to act on.
   */
  run(model: fuzzModel.FuzzModel, run: fuzzRun.FuzzRun): void {
    const { gapMs, template, pick } = this.options;
    const old = model.requests === 0 ? 0 : pick % model.requests;
    run.apply(gapMs, template.replace('{new}', `o${model.requests}`).replace('{old}', `o${old}`));
    const [verb = '', target = ''] = template.split(' ');
    if (verb === 'request') Object.assign(model, { requests: model.requests + 1 });
    if (verb === 'kill' || verb === 'stop') model.dead.add(target);
    if (verb === 'restart') model.dead.delete(target);
    if (verb === 'freeze') model.frozen.add(target);
    if (verb === 'thaw' || verb === 'kill' || verb === 'restart') model.frozen.delete(target);
  }

  toString(): string {
    return `${this.options.gapMs}ms ${this.options.template}`;
  }
}

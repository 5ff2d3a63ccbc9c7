import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';
import * as fastCheck from 'fast-check';
import type * as neverthrow from 'neverthrow';

import type * as promises from '../promises/index.js';
import * as traces from '../traces/index.js';
import * as actionArbitrary from './ActionArbitrary.js';
import type * as fuzzModel from './FuzzModel.js';
import * as fuzzRun from './FuzzRun.js';

const DEFAULT_MAX_COMMANDS = 40;

/** Options of a campaign. */
export interface FuzzCampaignOptions {
  readonly seed: number;
  readonly runs: number;
  /** Preset of the deployment; `small` if not given. */
  readonly deployment?: string;
  readonly maxCommands?: number;
  /** Rules that replace the default ones on every VM. */
  readonly rules?: Partial<core.vms.VmRules>;
}

/** Smallest failing sequence that was found. */
export interface FuzzFailure {
  readonly violations: readonly promises.Violation[];
  /** Trace that `replay` takes. */
  readonly trace: string;
}

/** Result of a campaign. */
export interface FuzzReport {
  readonly seed: number;
  readonly runs: number;
  /** Digest of all outputs of all VMs in all runs. */
  readonly digest: string;
  readonly failure: FuzzFailure | undefined;
}

/** Tries random sequences of faults and orders against the promises. */
export class FuzzCampaign {
  /**
   * Runs a campaign.
   * @param options - Seed and number of runs.
   */
  static run(options: FuzzCampaignOptions): neverthrow.Result<FuzzReport, traces.TraceFailure> {
    const deployment = options.deployment ?? 'small';
    const parser = new traces.TraceParser(new traces.DirectoryPresetSource());
    return parser.parse(`deployment ${deployment}`).map((trace) => FuzzCampaign.runTrace(options, deployment, trace));
  }

  private static runTrace(options: FuzzCampaignOptions, deployment: string, trace: traces.Trace): FuzzReport {
    const digest = crypto.createHash('sha256');
    let failure: FuzzFailure | undefined;
    const commands = fastCheck.commands([...actionArbitrary.ActionArbitrary.createCommands(trace.plan)], {
      maxCommands: options.maxCommands ?? DEFAULT_MAX_COMMANDS,
    });
    const property = fastCheck.property(commands, fastCheck.integer({ min: 1, max: 1_000_000 }), (sequence, seed) => {
      const run = new fuzzRun.FuzzRun({
        deployment, trace, seed, rules: options.rules, digest: 'kept',
      });
      const model: fuzzModel.FuzzModel = { requests: 0, dead: new Set(), frozen: new Set() };
      fastCheck.modelRun(() => ({ model, real: run }), sequence);
      const violations = run.end();
      digest.update(run.computeDigest());
      // Shrinking keeps the smaller of two failing sequences, so the last one that failed is the smallest.
      if (violations.length > 0) failure = { violations, trace: run.formatTrace() };
      return violations.length === 0;
    });
    const details = fastCheck.check(property, { seed: options.seed, numRuns: options.runs });
    return {
      seed: options.seed, runs: details.numRuns, digest: digest.digest('hex'), failure,
    };
  }
}

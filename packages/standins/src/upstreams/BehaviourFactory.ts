import * as crossedBehaviour from './CrossedBehaviour.js';
import * as failingBehaviour from './FailingBehaviour.js';
import * as flappingBehaviour from './FlappingBehaviour.js';
import * as lateBehaviour from './LateBehaviour.js';
import * as promptBehaviour from './PromptBehaviour.js';
import * as resettingBehaviour from './ResettingBehaviour.js';
import * as silentBehaviour from './SilentBehaviour.js';
import * as slowBehaviour from './SlowBehaviour.js';
import * as truncatedBehaviour from './TruncatedBehaviour.js';
import type * as upstreamBehaviour from './UpstreamBehaviour.js';
import type * as upstreamMode from './UpstreamMode.js';

const BEHAVIOURS: Readonly<Record<upstreamMode.UpstreamMode, new () => upstreamBehaviour.UpstreamBehaviour>> = {
  prompt: promptBehaviour.PromptBehaviour,
  slow: slowBehaviour.SlowBehaviour,
  late: lateBehaviour.LateBehaviour,
  failing: failingBehaviour.FailingBehaviour,
  truncated: truncatedBehaviour.TruncatedBehaviour,
  crossed: crossedBehaviour.CrossedBehaviour,
  flapping: flappingBehaviour.FlappingBehaviour,
  silent: silentBehaviour.SilentBehaviour,
  resetting: resettingBehaviour.ResettingBehaviour,
};

/**
 * Creates the behaviour of a mode.
 * @param mode - Mode of the instance.
 */
export function createBehaviour(mode: upstreamMode.UpstreamMode): upstreamBehaviour.UpstreamBehaviour {
  return new BEHAVIOURS[mode]();
}

import type * as upstreams from '../upstreams/index.js';
import type * as worlds from '../worlds/index.js';

// Share of a fair share that an instance may get on trial.
const TRIAL_SHARE = 0.05;

interface Episode {
  readonly instance: upstreams.FakeInstance;
  readonly fromMs: number;
  state: 'gray' | 'over';
  /** Seconds in which the instance got more than a trial share. */
  exposedMs: number;
}

/** Measures for how long a gray instance keeps getting more than a trial share of its service, over the fleet. */
export class DetectionMeter {
  private readonly episodes: Episode[] = [];

  private readonly attempts = new Map<upstreams.FakeInstance, number>();

  /** @param view - Truth about the world. */
  constructor(private readonly view: worlds.WorldView) {}

  /**
   * Handles what happened.
   * @param event - Event of the world.
   */
  handle(event: worlds.WorldEvent): void {
    if (event.type === 'attempt-sent') this.attempts.set(event.instance, (this.attempts.get(event.instance) ?? 0) + 1);
    if (event.type === 'instance-changed') this.updateEpisode(event.instance);
    if (event.type === 'tick') this.countSecond();
  }

  /** Lists the time of each gray episode for which the instance got more than a trial share, in milliseconds. */
  listExposuresMs(): readonly number[] {
    return this.episodes.map((episode) => episode.exposedMs);
  }

  /**
   * Gets the longest exposure of an instance in milliseconds, or undefined if it was never gray.
   * @param name - Name of the instance.
   */
  getExposureMs(name: string): number | undefined {
    const exposures = this.episodes.filter((episode) => episode.instance.endpoint.name === name).map((episode) => episode.exposedMs);
    return exposures.length === 0 ? undefined : Math.max(...exposures);
  }

  private updateEpisode(instance: upstreams.FakeInstance): void {
    const open = this.episodes.find((episode) => episode.instance === instance && episode.state === 'gray');
    const gray = instance.mode !== undefined && instance.getState() === 'live';
    if (gray && open === undefined) {
      this.episodes.push({
        instance, fromMs: this.view.getNowMs(), state: 'gray', exposedMs: 0,
      });
    }
    if (!gray && open !== undefined) open.state = 'over';
  }

  private countSecond(): void {
    const nowMs = this.view.getNowMs();
    this.episodes.filter((episode) => episode.state === 'gray').forEach((episode) => {
      const peers = this.view.listInstances(episode.instance.service);
      const total = peers.reduce((sum, instance) => sum + (this.attempts.get(instance) ?? 0), 0);
      // One attempt in a second is a trial, however small the fair share.
      const trial = Math.max(1, (total / peers.length) * TRIAL_SHARE);
      const exposed = (this.attempts.get(episode.instance) ?? 0) > trial;
      if (exposed) Object.assign(episode, { exposedMs: episode.exposedMs + Math.min(1_000, nowMs - episode.fromMs) });
    });
    this.attempts.clear();
  }
}

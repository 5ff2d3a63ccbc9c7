import type * as core from '@tamarackferry/core';

import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';

const POLL_PERIOD_MS = 30_000;

// Readers that hold a watch learn of a failed platform when their watch is renewed.
const WATCH_PERIOD_MS = 10_000;

const DEFAULT_LIST_LAG_MS = 1_000;

const ENDPOINT: links.Endpoint = { name: 'platform', place: '', role: 'platform' };

/** Options of a `FakePlatform`. */
export interface FakePlatformOptions {
  readonly queue: worlds.EventQueue;
  readonly links: links.LinkTable;
  readonly random: core.randomness.RandomSource;
  readonly machines: readonly vms.FakeMachine[];
  /** Returns the true list of VMs. */
  readonly listEntries: () => readonly core.vms.ListEntry[];
  /** Called when a VM gets a list. */
  readonly onListRead: (machine: vms.FakeMachine, entries: readonly core.vms.ListEntry[]) => void;
}

/** Platform that publishes the configuration text and a list of VMs. It may be down, stale, or lag. */
export class FakePlatform {
  private state: 'up' | 'down' | 'stale' = 'up';

  private listLagMs = DEFAULT_LIST_LAG_MS;

  private publishedText = '';

  private visibleText = '';

  private publishedEntries: readonly core.vms.ListEntry[] = [];

  private visibleEntries: readonly core.vms.ListEntry[] = [];

  private readonly modes = new Map<string, 'watch' | 'poll'>();

  /** @param options - Surroundings. */
  constructor(private readonly options: FakePlatformOptions) {}

  /**
   * Publishes a configuration text. Readers see it while the platform is up.
   * @param text - Sealed text.
   */
  publishText(text: string): void {
    this.publishedText = text;
    if (this.state === 'up') this.showText();
  }

  /** Publishes the true list; readers see it after the lag. */
  publishList(): void {
    const entries = this.options.listEntries();
    this.options.queue.schedule(this.listLagMs, () => {
      this.publishedEntries = entries;
      if (this.state === 'up') this.showEntries();
    });
  }

  /** Publishes the true list without lag, for the start of a world. */
  publishListAtOnce(): void {
    this.publishedEntries = this.options.listEntries();
    this.visibleEntries = this.publishedEntries;
  }

  /**
   * Sets the lag of the list.
   * @param lagMs - Time until a change is seen, in milliseconds.
   */
  setListLag(lagMs: number): void {
    this.listLagMs = lagMs;
  }

  /**
   * Takes the platform down, makes it stale or brings it back.
   * @param state - New state; a stale platform serves what it showed last.
   * @param staleText - Older text that a stale platform serves.
   */
  setState(state: 'up' | 'down' | 'stale', staleText?: string): void {
    this.state = state;
    if (state === 'stale' && staleText !== undefined) this.visibleText = staleText;
    if (state !== 'up') return;
    this.showText();
    this.showEntries();
  }

  /**
   * Begins the reads of a process that started.
   * @param machine - Machine of the process.
   */
  start(machine: vms.FakeMachine): void {
    this.modes.set(machine.endpoint.name, 'poll');
    this.readText(machine);
    this.readList(machine);
    this.schedulePoll(machine, machine.run);
  }

  /**
   * Sets how a VM reads the configuration.
   * @param machine - Machine of the VM.
   * @param mode - Whether it holds a watch or polls.
   */
  setMode(machine: vms.FakeMachine, mode: 'watch' | 'poll'): void {
    const changed = this.modes.get(machine.endpoint.name) !== mode;
    this.modes.set(machine.endpoint.name, mode);
    if (changed && mode === 'watch') this.readText(machine);
  }

  private showText(): void {
    this.visibleText = this.publishedText;
    this.options.machines.filter((machine) => this.modes.get(machine.endpoint.name) === 'watch').forEach((machine) => this.readText(machine));
  }

  private showEntries(): void {
    this.visibleEntries = this.publishedEntries;
    this.options.machines.forEach((machine) => this.readList(machine));
  }

  private schedulePoll(machine: vms.FakeMachine, run: number): void {
    const periodMs = this.modes.get(machine.endpoint.name) === 'watch' ? WATCH_PERIOD_MS : POLL_PERIOD_MS;
    this.options.queue.schedule(periodMs * (0.75 + this.options.random.drawFraction() / 2), () => {
      if (machine.run !== run || machine.getState() === 'dead') return;
      this.readText(machine);
      this.readList(machine);
      this.schedulePoll(machine, run);
    });
  }

  private readText(machine: vms.FakeMachine): void {
    const text = this.visibleText;
    this.answerLater(machine, text === '' ? undefined : () => machine.deliver({ type: 'configuration-read', text }), 'configuration');
  }

  private readList(machine: vms.FakeMachine): void {
    const entries = this.visibleEntries;
    this.answerLater(machine, () => {
      this.options.onListRead(machine, entries);
      machine.deliver({ type: 'list-read', entries });
    }, 'list');
  }

  private answerLater(machine: vms.FakeMachine, answer: (() => void) | undefined, source: 'configuration' | 'list'): void {
    const { queue, links: table } = this.options;
    const { run } = machine;
    const thereMs = table.drawStreamDelayMs(machine.endpoint, ENDPOINT);
    const backMs = table.drawStreamDelayMs(ENDPOINT, machine.endpoint);
    const reached = this.state !== 'down' && answer !== undefined && thereMs !== undefined && backMs !== undefined;
    queue.schedule((thereMs ?? POLL_PERIOD_MS / 10) + (backMs ?? POLL_PERIOD_MS / 10), () => {
      if (machine.run !== run || machine.getState() === 'dead') return;
      if (reached) answer();
      else machine.deliver({ type: 'platform-failed', source });
    });
  }
}

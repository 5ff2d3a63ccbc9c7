import type * as timerOptions from './TimerOptions.js';
import * as timerService from './TimerService.js';
import type * as timerSubscription from './TimerSubscription.js';

interface VirtualTimer {
  dueMs: number;
  order: number;
  state: 'armed' | 'cancelled';
  readonly periodMs: number | undefined;
  readonly fire: () => void;
}

function compareTimers(left: VirtualTimer, right: VirtualTimer): number {
  return left.dueMs === right.dueMs ? left.order - right.order : left.dueMs - right.dueMs;
}

/** Timer service whose time is advanced by its owner. Timers fire in the order of their due times. */
export class VirtualTimerService extends timerService.TimerService {
  // Binary heap ordered by due time, then by order of subscription.
  private readonly heap: VirtualTimer[] = [];

  private nextOrder = 0;

  /** @param nowMs - Time at the start, in milliseconds. */
  constructor(private nowMs = 0) {
    super();
  }

  override getNowMs(): number {
    return this.nowMs;
  }

  /** Gets the due time of the next timer in milliseconds, or undefined if there is none. */
  getNextDueMs(): number | undefined {
    this.dropCancelled();
    return this.heap[0]?.dueMs;
  }

  override subscribe<Message>(options: timerOptions.TimerOptions<Message>): timerSubscription.TimerSubscription {
    const timer: VirtualTimer = {
      dueMs: this.nowMs + Math.max(0, options.delayMs),
      order: this.nextOrder,
      state: 'armed',
      periodMs: options.periodMs,
      fire: () => options.mailbox.post(options.message),
    };
    this.nextOrder += 1;
    this.push(timer);
    return {
      cancel: () => {
        timer.state = 'cancelled';
      },
    };
  }

  /**
   * Advances the time and fires all timers that become due until then.
   * @param toMs - Time to advance to, in milliseconds.
   */
  advanceTo(toMs: number): void {
    for (let dueMs = this.getNextDueMs(); dueMs !== undefined && dueMs <= toMs; dueMs = this.getNextDueMs()) this.fireNext();
    this.nowMs = Math.max(this.nowMs, toMs);
  }

  /**
   * Moves the clock without firing the timers that become due, as in a pause of the process. The next advance fires them late.
   * @param toMs - Time to move to, in milliseconds.
   */
  moveTo(toMs: number): void {
    this.nowMs = Math.max(this.nowMs, toMs);
  }

  private fireNext(): void {
    const timer = this.pop();
    if (timer === undefined || timer.state === 'cancelled') return;
    this.nowMs = Math.max(this.nowMs, timer.dueMs);
    if (timer.periodMs !== undefined) {
      timer.dueMs = this.nowMs + timer.periodMs;
      timer.order = this.nextOrder;
      this.nextOrder += 1;
      this.push(timer);
    }
    timer.fire();
  }

  private dropCancelled(): void {
    while (this.heap[0]?.state === 'cancelled') this.pop();
  }

  private push(timer: VirtualTimer): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(timer);
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (compareTimers(heap[parent]!, timer) <= 0) break;
      heap[position] = heap[parent]!;
      position = parent;
    }
    heap[position] = timer;
  }

  private pop(): VirtualTimer | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return first;
    let position = 0;
    for (let child = 1; child < heap.length; child = 2 * position + 1) {
      if (child + 1 < heap.length && compareTimers(heap[child + 1]!, heap[child]!) < 0) child += 1;
      if (compareTimers(heap[child]!, last) >= 0) break;
      heap[position] = heap[child]!;
      position = child;
    }
    heap[position] = last;
    return first;
  }
}

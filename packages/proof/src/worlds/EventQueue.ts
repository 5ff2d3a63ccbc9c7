interface WorldEvent {
  readonly atMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/** Owner of the virtual time of a world. Runs events in the order of their times, then in the order in which they were scheduled. */
export class EventQueue {
  private readonly heap: WorldEvent[] = [];

  private nextOrder = 0;

  private nowMs = 0;

  /** Gets the virtual time in milliseconds. */
  getNowMs(): number {
    return this.nowMs;
  }

  /**
   * Schedules an event after a delay.
   * @param delayMs - Delay in milliseconds; negative delays count as 0.
   * @param fire - Event to run.
   */
  schedule(delayMs: number, fire: () => void): void {
    const event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.nextOrder, fire };
    this.nextOrder += 1;
    this.push(event);
  }

  /**
   * Runs all events up to a time.
   * @param toMs - Time to advance to, in milliseconds.
   */
  advanceTo(toMs: number): void {
    for (let first = this.heap[0]; first !== undefined && first.atMs <= toMs; first = this.heap[0]) {
      this.pop();
      this.nowMs = first.atMs;
      first.fire();
    }
    this.nowMs = Math.max(this.nowMs, toMs);
  }

  private static compareEvents(left: WorldEvent, right: WorldEvent): number {
    return left.atMs === right.atMs ? left.order - right.order : left.atMs - right.atMs;
  }

  private push(event: WorldEvent): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(event);
    while (position > 0) {
      const parent = (position - 1) >> 1; // eslint-disable-line no-bitwise -- hot path of the simulation
      if (EventQueue.compareEvents(heap[parent]!, event) <= 0) break;
      heap[position] = heap[parent]!;
      position = parent;
    }
    heap[position] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let position = 0;
    for (let child = 1; child < heap.length; child = 2 * position + 1) {
      if (child + 1 < heap.length && EventQueue.compareEvents(heap[child + 1]!, heap[child]!) < 0) child += 1;
      if (EventQueue.compareEvents(heap[child]!, last) >= 0) break;
      heap[position] = heap[child]!;
      position = child;
    }
    heap[position] = last;
  }
}

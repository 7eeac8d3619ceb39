/**
 * Virtual clock that advances from one scheduled event to the next.
 */

interface PlannedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A queue of events by time; events of the same time run in the order in which they were planned. */
export class VirtualTime {
  private readonly heap: PlannedEvent[] = [];

  private planned = 0;

  private current = 0;

  /** @returns Milliseconds since the start. */
  get now(): number {
    return this.current;
  }

  /**
   * @param delay - milliseconds from now.
   * @param run - what happens then.
   */
  after(delay: number, run: () => void): void {
    this.planned += 1;
    this.push({ at: this.current + Math.max(0, delay), order: this.planned, run });
  }

  /**
   * @param period - milliseconds.
   * @param run - what happens each time.
   */
  every(period: number, run: () => void): void {
    this.after(period, () => {
      run();
      this.every(period, run);
    });
  }

  /**
   * @param end - milliseconds; later events do not run.
   */
  runUntil(end: number): void {
    for (let event = this.heap.at(0); event && event.at <= end; event = this.heap.at(0)) {
      this.pop();
      this.current = event.at;
      event.run();
    }
    this.current = end;
  }

  private push(event: PlannedEvent): void {
    const { heap } = this;
    let place = heap.length;
    heap.push(event);
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!VirtualTime.isBefore(event, heap[parent]!)) break;
      heap[place] = heap[parent]!;
      place = parent;
    }
    heap[place] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && VirtualTime.isBefore(heap[right]!, heap[child]!)) child = right;
      if (!VirtualTime.isBefore(heap[child]!, last)) break;
      heap[place] = heap[child]!;
      place = child;
    }
    heap[place] = last;
  }

  private static isBefore(a: PlannedEvent, b: PlannedEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }
}

/**
 * When chats arrive: new ones, those that paused when the run began, and those of the surging account.
 */
import type { VirtualTime } from './VirtualTime.js';
import type { Chat, Workload } from './Workload.js';

/** Options of {@link planArrivals}. */
export interface ArrivalOptions {
  readonly time: VirtualTime;
  readonly workload: Workload;
  readonly onArrival: (chat: Chat) => void;
  /** Virtual milliseconds; missing for no surge. */
  readonly surge: { readonly from: number; readonly until: number } | undefined;
}

function planOpening(options: ArrivalOptions): void {
  const { time, workload, onArrival } = options;
  time.after(workload.nextOpening(), () => {
    onArrival(workload.open());
    planOpening(options);
  });
}

function planSurge(options: ArrivalOptions, until: number): void {
  const { time, workload, onArrival } = options;
  if (time.now >= until) return;
  time.after(workload.nextSurge(), () => {
    onArrival(workload.surgingChat());
    planSurge(options, until);
  });
}

/**
 * @param options - the run's time and workload.
 */
export function planArrivals(options: ArrivalOptions): void {
  const { time, workload, onArrival, surge } = options;
  planOpening(options);
  for (const { chat, returnsAfter } of workload.pausing())
    time.after(returnsAfter, () => onArrival(chat));
  if (surge) time.after(surge.from, () => planSurge(options, surge.until));
}

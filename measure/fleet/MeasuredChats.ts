/**
 * The chats that load a measured fleet: the same ones each time, at any entry or where they were told to go.
 */
import type { FleetProcesses } from '../../standIns/fleet/FleetProcesses.js';
import type { TwoFirms } from '../../standIns/fleet/twoFirms.js';
import { FIRMS } from '../../standIns/fleet/twoFirms.js';
import { CallerClient } from '../../standIns/callers/CallerClient.js';
import { ManyChats } from '../../tests/ManyChats.js';

/** Options of {@link MeasuredChats}. */
export interface MeasuredChatsOptions {
  fleet: FleetProcesses;
  firms: TwoFirms;
  chats: number;
}

const CHATS_AT_ONCE = 40;
const { account, model } = FIRMS[0]!;

/** Asks all chats, some at once. */
export class MeasuredChats {
  private readonly fleet: FleetProcesses;

  private readonly key: string;

  private readonly chats: number;

  private readonly addresses = new Map<string, readonly string[]>();

  /**
   * @param options - the fleet, its accounts and the number of chats.
   */
  constructor({ fleet, firms, chats }: MeasuredChatsOptions) {
    this.fleet = fleet;
    this.key = firms.keys[account]!;
    this.chats = chats;
  }

  /** Locates each chat; from now on it goes where it was told to. */
  async locate(): Promise<void> {
    const client = new CallerClient({ entries: this.entries(), key: this.key });
    for (const { name, count } of this.batches()) {
      const names = Array.from({ length: count }, (_, index) => `${name}-${index}`);
      await Promise.all(
        names.map(async (chat) => {
          this.addresses.set(chat, await client.locate(`model=${model}&chat=${chat}`));
        }),
      );
    }
  }

  /**
   * Asks each chat once.
   *
   * @param tokens - of each answer.
   * @returns How many answers were exact.
   */
  async ask(tokens: number): Promise<number> {
    const many = new ManyChats({
      entries: () => this.entries(),
      located: (chat) => this.addresses.get(chat),
      key: this.key,
      model,
      tokens,
    });
    let exact = 0;
    for (const { name, count } of this.batches()) {
      const endings = await many.ask(count, name);
      exact += endings.filter((ending) => ending.exact).length;
    }
    return exact;
  }

  private entries(): string[] {
    return this.fleet.runningDaemons().map(({ callerAddress }) => callerAddress);
  }

  private batches(): { name: string; count: number }[] {
    return Array.from({ length: Math.ceil(this.chats / CHATS_AT_ONCE) }, (_, batch) => ({
      name: `measured-${batch}`,
      count: Math.min(CHATS_AT_ONCE, this.chats - batch * CHATS_AT_ONCE),
    }));
  }
}

/**
 * The interface through which a daemon looks up, and reports to a chat's home, where the chat's prefix is
 * cached.
 */
import type { HomeChange, WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';

/** Access to the homes of all chats, whether the home is this daemon or another one. */
export abstract class HomePort {
  /**
   * Looks up the runners that have a chat's prefix cached. If the home is unavailable or slow, the result lacks
   * its entries; that costs cache reuse, but the request goes on.
   *
   * @param chat - the chat's name.
   * @param service - the service that the chat uses.
   * @returns The runners, those with the most cached tokens first.
   */
  abstract findWarmRunners(chat: string, service: string): Promise<readonly WarmRunner[]>;

  /**
   * Reports changes to the homes of their chats. Changes are sent in batches and may be lost, which costs only
   * cache reuse.
   *
   * @param changes - the changes, each for one chat on one runner.
   */
  abstract reportChanges(changes: readonly HomeChange[]): void;
}

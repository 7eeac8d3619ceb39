/**
 * Creates the names of chats. The account is part of the name that the fleet uses: two accounts that both name
 * a chat "1" must share neither a position in the hash order nor each other's cached prefix.
 */

/** Prefix of a name that was derived from the opening of a prompt. */
const DERIVED_MARK = '~';

/**
 * Derives the name of a chat that the caller did not name.
 *
 * @param opening - the hash of the model and the opening of the prompt.
 * @returns The name within the account; the caller may send it with later requests.
 */
export function derivedChatName(opening: string): string {
  return `${DERIVED_MARK}${opening}`;
}

/**
 * Creates the name of a chat that is unique in the fleet.
 *
 * @param account - the name of the client account.
 * @param chat - the name of the chat within the account.
 * @returns The name that placement hashes.
 */
export function qualifiedChatName(account: string, chat: string): string {
  return `${account}/${chat}`;
}

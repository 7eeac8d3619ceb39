/**
 * Test helpers for the specs of gates.
 */
import type { GateAction, GateRequest } from './gateTypes.js';

/**
 * Creates a request for a test.
 *
 * @param attemptId - id of the attempt, also used as the id of the request.
 * @param changes - fields that differ from the default request of 100 prompt tokens and 100 generated tokens.
 * @returns The request.
 */
export function gateRequest(attemptId: string, changes: Partial<GateRequest> = {}): GateRequest {
  return {
    attemptId,
    requestId: attemptId,
    clientAccount: 'showroom',
    priority: 'standard',
    deadline: 60_000,
    promptTokens: 100,
    cachedTokens: 0,
    maximumTokens: 100,
    bound: 1.25,
    lastChoice: false,
    accountWeight: 1,
    accountMaximumConcurrent: 0,
    accountMaximumTokensPerMinute: 0,
    ...changes,
  };
}

/**
 * Summarizes actions for comparison in a test.
 *
 * @param actions - the actions of one decision.
 * @returns For each action its kind and attempt id, and for a refusal also the reason.
 */
export function summarizeActions(actions: readonly GateAction[]): string[] {
  return actions.map((action) =>
    action.kind === 'refuse'
      ? `refuse ${action.attemptId} ${action.reason}`
      : `${action.kind} ${action.attemptId}`,
  );
}

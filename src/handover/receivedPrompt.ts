/**
 * What a daemon keeps of the prompt of a request that another one hands over.
 */
import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';
import type { RunnerProtocol } from '../forwarding/RunnerProtocol.js';
import { headersByName } from '../http/headersByName.js';
import { boundedSegmentIds, boundedSegmentParts } from '../prompts/promptSegments.js';
import type { HandOver } from './handOverMessage.js';

/**
 * @param request - a request as the other daemon describes it; one of an earlier version names all parts of its prompt.
 * @param protocol - reads the parts from the head.
 * @returns Its prompt within the bounds of this daemon.
 */
export function receivedPrompt(
  { headers, route, sharedParts, work }: HandOver['request'],
  protocol: Pick<RunnerProtocol, 'sharedPartsOf'>,
): Pick<AdmittedRequest, 'sharedParts' | 'allSharedParts' | 'work'> {
  return {
    sharedParts: boundedSegmentIds(sharedParts),
    allSharedParts: () =>
      route.cachesPrompts ? protocol.sharedPartsOf(headersByName(headers)) : [],
    work: work && { ...work, parts: boundedSegmentParts(work.parts) },
  };
}

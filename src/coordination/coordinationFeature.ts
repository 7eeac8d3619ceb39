/**
 * Log events of coordination in large fleets; they have the numbers 2900 to 2999.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Changes of which coordinators are asked and of how this daemon learns the content of the store. */
export const coordinationLogEvents = {
  runnerLeaves: defineLogEvent({
    number: 2904,
    name: 'coordination.runner_leaves',
    level: 'info',
    text: 'A runner has announced its shutdown in an answer to this or to another daemon; it gets no more requests.',
    operatorAction: 'None; the store should list it as draining soon.',
  }),
  coordinatorUnresponsive: defineLogEvent({
    number: 2900,
    name: 'coordination.coordinator_silent',
    level: 'warn',
    text: 'A coordinator does not answer and is skipped for a while; the next one is asked instead.',
    operatorAction: 'Check that daemon if the event repeats.',
  }),
  listingDiffers: defineLogEvent({
    number: 2901,
    name: 'coordination.listing_differs',
    level: 'info',
    text: "A coordinator's list of runners or daemons differs from this daemon's; this daemon reads the store.",
    operatorAction: 'None; frequent events mean that datagrams are lost.',
  }),
  relayLost: defineLogEvent({
    number: 2902,
    name: 'coordination.relay_lost',
    level: 'warn',
    text: 'No coordinator has broadcast the content of the store for a while; this daemon reads the store itself.',
    operatorAction: 'Check the coordinators and the network between daemons.',
  }),
  relayFound: defineLogEvent({
    number: 2903,
    name: 'coordination.relay_found',
    level: 'info',
    text: 'Coordinators broadcast the content of the store; this daemon stops reading it.',
    operatorAction: 'None.',
  }),
};

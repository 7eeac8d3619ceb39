/**
 * Log events of coordination in large fleets, numbers 2900 to 2999.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Changes of who is asked, and of how this daemon learns of the store. */
export const coordinationLogEvents = {
  runnerLeaves: defineLogEvent({
    number: 2904,
    name: 'coordination.runner_leaves',
    level: 'info',
    text: 'A runner has said in an answer that it leaves, to this daemon or to another one: it gets no more requests.',
    operatorAction: 'None; the store should list it as draining soon.',
  }),
  coordinatorSilent: defineLogEvent({
    number: 2900,
    name: 'coordination.coordinator_silent',
    level: 'warn',
    text: 'A coordinator does not answer and is left alone for a while; the next one is asked.',
    operatorAction: 'Look at that daemon if it goes on.',
  }),
  listingDiffers: defineLogEvent({
    number: 2901,
    name: 'coordination.listing_differs',
    level: 'info',
    text: 'A coordinator lists other runners or daemons than this daemon, which reads the store.',
    operatorAction: 'None; many of them mean that datagrams are lost.',
  }),
  relayLost: defineLogEvent({
    number: 2902,
    name: 'coordination.relay_lost',
    level: 'warn',
    text: 'No coordinator has told what the store says for a while; this daemon reads the store itself.',
    operatorAction: 'Look at the coordinators, and at the network between daemons.',
  }),
  relayFound: defineLogEvent({
    number: 2903,
    name: 'coordination.relay_found',
    level: 'info',
    text: 'Coordinators tell what the store says; this daemon does not read it any more.',
    operatorAction: 'None.',
  }),
};

/**
 * The list of all features. A new feature is added here; the settings, the log catalogue and their generated pages are
 * derived from this list.
 */
import { callersFeature } from '../callers/callersFeature.js';
import { configurationFeature } from '../configuration/configurationFeature.js';
import { gatesFeature } from '../gates/gatesFeature.js';
import { operatorsFeature } from '../operators/operatorsFeature.js';
import { upstreamsFeature } from '../upstreams/upstreamsFeature.js';
import { daemonFeature } from '../daemon/daemonFeature.js';
import { homesFeature } from '../homes/homesFeature.js';
import { membershipFeature } from '../membership/membershipFeature.js';
import { ordersFeature } from '../orders/ordersFeature.js';
import { peersFeature } from '../peers/peersFeature.js';
import { platformFeature } from '../store/platformFeature.js';
import { requestsFeature } from '../requests/requestsFeature.js';
import { routingFeature } from '../routing/routingFeature.js';

/** All features of the program, in the order of the generated pages. */
export const ALL_FEATURES = [
  daemonFeature,
  callersFeature,
  membershipFeature,
  configurationFeature,
  platformFeature,
  peersFeature,
  homesFeature,
  routingFeature,
  requestsFeature,
  upstreamsFeature,
  operatorsFeature,
  ordersFeature,
  gatesFeature,
] as const;

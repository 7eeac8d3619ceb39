/**
 * The features of a daemon that forwards directly; it loads none of the others.
 */
import { z } from 'zod';

import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { coordinationLogEvents } from '../coordination/coordinationFeature.js';
import { livenessLogEvents } from '../liveness/livenessFeature.js';
import { newsLogEvents } from '../news/newsFeature.js';
import { quarantineLogEvents } from '../quarantine/quarantineFeature.js';
import { routerFeature } from '../router/routerFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import { defineFeature } from './Feature.js';

/** Parts that log and whose settings stand in the router's section. */
const WITHOUT_SETTINGS = z.strictObject({}).prefault({});

/** Every feature, in the order of the pages. */
export const ROUTER_FEATURES = [
  routerFeature,
  defineFeature({ name: 'forwarding', settings: WITHOUT_SETTINGS, logEvents: forwardingLogEvents }),
  defineFeature({ name: 'sync', settings: WITHOUT_SETTINGS, logEvents: syncLogEvents }),
  defineFeature({ name: 'news', settings: WITHOUT_SETTINGS, logEvents: newsLogEvents }),
  defineFeature({
    name: 'coordination',
    settings: WITHOUT_SETTINGS,
    logEvents: coordinationLogEvents,
  }),
  defineFeature({ name: 'liveness', settings: WITHOUT_SETTINGS, logEvents: livenessLogEvents }),
  defineFeature({
    name: 'quarantine',
    settings: WITHOUT_SETTINGS,
    logEvents: quarantineLogEvents,
  }),
] as const;

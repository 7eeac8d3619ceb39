/**
 * The features of a router daemon, which forwards requests directly to runners. It loads no other features.
 */
import { z } from 'zod';

import { admissionLogEvents } from '../admission/admissionFeature.js';
import { capacityLogEvents } from '../capacity/capacityFeature.js';
import { clientsLogEvents } from '../clients/clientsFeature.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { coordinationLogEvents } from '../coordination/coordinationFeature.js';
import { livenessLogEvents } from '../liveness/livenessFeature.js';
import { newsLogEvents } from '../news/newsFeature.js';
import { quarantineLogEvents } from '../quarantine/quarantineFeature.js';
import { routerFeature } from '../router/routerFeature.js';
import { spillLogEvents } from '../spill/spillFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import { defineFeature } from './Feature.js';

/** Schema of features that only add log events; their settings are part of the router's section. */
const NO_SETTINGS = z.strictObject({}).prefault({});

/** All features of a router daemon, in the order of the generated pages. */
export const ROUTER_FEATURES = [
  routerFeature,
  defineFeature({ name: 'forwarding', settings: NO_SETTINGS, logEvents: forwardingLogEvents }),
  defineFeature({ name: 'clients', settings: NO_SETTINGS, logEvents: clientsLogEvents }),
  defineFeature({ name: 'sync', settings: NO_SETTINGS, logEvents: syncLogEvents }),
  defineFeature({ name: 'news', settings: NO_SETTINGS, logEvents: newsLogEvents }),
  defineFeature({
    name: 'coordination',
    settings: NO_SETTINGS,
    logEvents: coordinationLogEvents,
  }),
  defineFeature({ name: 'liveness', settings: NO_SETTINGS, logEvents: livenessLogEvents }),
  defineFeature({
    name: 'quarantine',
    settings: NO_SETTINGS,
    logEvents: quarantineLogEvents,
  }),
  defineFeature({ name: 'capacity', settings: NO_SETTINGS, logEvents: capacityLogEvents }),
  defineFeature({ name: 'admission', settings: NO_SETTINGS, logEvents: admissionLogEvents }),
  defineFeature({ name: 'spill', settings: NO_SETTINGS, logEvents: spillLogEvents }),
] as const;

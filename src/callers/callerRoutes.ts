/**
 * Creates all routes of the callers' interface.
 */
import { BindingRoute } from './BindingRoute.js';
import type { CallerRoute } from './CallerRoute.js';
import type { CallersSettings } from './callersFeature.js';
import { CancelRoute } from './CancelRoute.js';
import { ChatCompletionsRoute } from './ChatCompletionsRoute.js';
import { HealthRoute } from './HealthRoute.js';
import { LocateDecisions } from './LocateDecisions.js';
import { LocateRoute } from './LocateRoute.js';
import type { RouteName } from './matchRoute.js';
import { MetricsRoute } from './MetricsRoute.js';
import { ModelsRoute } from './ModelsRoute.js';
import { PlainServiceRoute } from './PlainServiceRoute.js';
import { StreamsRoute } from './StreamsRoute.js';

/**
 * Creates the routes.
 *
 * @param settings - the settings of the callers' interface.
 * @returns The route for each route name.
 */
export function createCallerRoutes(settings: CallersSettings): Record<RouteName, CallerRoute> {
  const decisions = new LocateDecisions({
    keepSeconds: settings.locateKeepSeconds,
    unsettledKeepSeconds: settings.locateUnsettledKeepSeconds,
    maximumAddresses: settings.locateMaximumAddresses,
  });
  return {
    chat_completions: new ChatCompletionsRoute(),
    models: new ModelsRoute(),
    streams: new StreamsRoute(),
    cancel: new CancelRoute(),
    locate: new LocateRoute(decisions),
    binding: new BindingRoute(),
    health: new HealthRoute(),
    metrics: new MetricsRoute(),
    plain: new PlainServiceRoute(),
  };
}

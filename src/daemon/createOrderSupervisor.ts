/**
 * Creates the supervisor of the orders that this daemon gives to engines, such as drains and roll-outs.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { Log } from '../logging/Log.js';
import type { ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import { OrderSupervisor } from '../orders/OrderSupervisor.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import type { Settings } from '../settings/settingsSchema.js';
import type { Clock } from '../time/Clock.js';
import { createUpstream } from '../upstreams/createUpstream.js';

/** Options of {@link createOrderSupervisor}. */
export interface CreateOrderSupervisorOptions {
  settings: Settings;
  fleet: FleetView;
  store: PlatformStore;
  changes: ConfigurationChanges;
  clock: Clock;
  log: Log;
}

/**
 * @param options - the daemon's settings and the parts that the supervisor uses.
 * @returns The supervisor, not yet started.
 */
export function createOrderSupervisor({
  settings,
  ...others
}: CreateOrderSupervisorOptions): OrderSupervisor {
  return new OrderSupervisor({
    ...others,
    settings: settings.orders,
    upstreamOf: (address) =>
      createUpstream({
        runner: { address },
        service: { kind: 'engine' },
        settings: settings.upstreams,
      }),
  });
}

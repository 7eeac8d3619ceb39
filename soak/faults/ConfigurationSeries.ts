/**
 * Changes the configuration several times within a short time.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { FaultContext } from './Fault.js';
import { Fault } from './Fault.js';

/** Large configurations take a while to send and to read. */
export class ConfigurationSeries extends Fault {
  private readonly areLarge: readonly boolean[] = Array.from(
    { length: this.draw.between(1, 3) },
    () => this.draw.random() < 0.5,
  );

  private readonly pauseMilliseconds = this.draw.between(50, 1_500);

  override async play({ site }: FaultContext): Promise<void> {
    for (const isLarge of this.areLarge) {
      site.changeConfiguration(isLarge);
      await wait(this.pauseMilliseconds);
    }
  }
}

/**
 * `npm run measure`: runs the decision classes in virtual time and prints the results.
 *
 * Without a name, it runs the routing measurement. A new measurement adds its command to the list.
 */
import { Builtins, Cli } from 'clipanion';

import { AdmissionMeasurement } from './admission.js';
import { CacheMovesMeasurement } from './cacheMoves.js';
import { ControlMeasurement } from './control.js';
import { ControlHomesMeasurement } from './controlHomes.js';
import { FleetMeasurement } from './fleet.js';
import { DecisionCostMeasurement } from './decisionCost.js';
import type { Measurement } from './Measurement.js';
import { RequestMeasurement } from './requests.js';
import { RetryBudgetMeasurement } from './retryBudget.js';
import { RoutingMeasurement } from './routing.js';
import { SiteMeasurement } from './site.js';

const MEASUREMENTS: readonly Measurement[] = [
  RoutingMeasurement,
  AdmissionMeasurement,
  CacheMovesMeasurement,
  DecisionCostMeasurement,
  ControlMeasurement,
  ControlHomesMeasurement,
  FleetMeasurement,
  RequestMeasurement,
  RetryBudgetMeasurement,
  SiteMeasurement,
];

const cli = new Cli({ binaryLabel: 'baobabdock measurements', binaryName: 'npm run measure --' });
cli.register(Builtins.HelpCommand);
for (const measurement of MEASUREMENTS) cli.register(measurement);
await cli.runExit(process.argv.slice(2));

/**
 * All commands for operators, as the program registers them.
 */
import type { CommandClass } from 'clipanion';

import { ApplyCommand } from './ApplyCommand.js';
import { DrainCommand, HistoryCommand, LiftDrainCommand, WaitCommand } from './fleetCommands.js';
import { CreateKeyCommand, CreateTokenCommand, RemoveKeyCommand } from './keyCommands.js';
import { MetricsCommand } from './MetricsCommand.js';
import { resourceCommands } from './resourceCommands.js';
import { RolloutStatusCommand, StartRolloutCommand, steeringCommands } from './rolloutCommands.js';
import { StatusCommand } from './StatusCommand.js';

/** Every command whose path begins with `operator`. */
export const operatorCommands: readonly CommandClass[] = [
  StatusCommand,
  MetricsCommand,
  HistoryCommand,
  ApplyCommand,
  WaitCommand,
  DrainCommand,
  LiftDrainCommand,
  ...resourceCommands,
  CreateKeyCommand,
  RemoveKeyCommand,
  CreateTokenCommand,
  StartRolloutCommand,
  RolloutStatusCommand,
  ...steeringCommands,
];

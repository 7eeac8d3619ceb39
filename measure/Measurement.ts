/**
 * Type of the commands of `npm run measure`.
 */
import type { CommandClass } from 'clipanion';

/** Class of a measurement; each is a clipanion command with its own paths, options and help. */
export type Measurement = CommandClass;

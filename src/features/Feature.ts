/**
 * The definition object of a feature: its name, its settings schema with defaults, and its log events.
 */
import type { z } from 'zod';

import type { LogEvent } from '../logging/logEvent.js';

/** Callback that reports a mistake which only shows when several settings of a section are checked together. */
export type ReportSettingError = (field: readonly (string | number)[], message: string) => void;

/** Log events by the name that the code uses for them. */
export type LogEvents = Readonly<Record<string, LogEvent>>;

/** Definition of one feature, as its folder exports it. */
export interface Feature<
  Name extends string,
  Settings extends z.ZodType,
  Events extends LogEvents = LogEvents,
> {
  /** Name of the feature and of its section in the settings file. */
  readonly name: Name;
  /** Schema of the section, with the defaults. Every field needs a `describe`, which the settings reference prints. */
  readonly settings: Settings;
  /**
   * Log events of the feature. The keys are typed, so that a misspelt event is a compiler error and not a broken log
   * line.
   */
  readonly logEvents: Events;
  /**
   * Checks settings against each other, after each of them has passed the schema.
   *
   * @param settings - the section with its defaults.
   * @param report - called for each mistake, with the path of its field inside the section.
   */
  checkSettings?(settings: z.output<Settings>, report: ReportSettingError): void;
}

/** A feature of any name and schema, for code that handles all features alike. */
export type AnyFeature = Feature<string, z.ZodType>;

/**
 * Defines a feature and freezes its definition.
 *
 * @param feature - name, settings schema, log events and optionally a check across settings.
 * @returns The same object with its specific types.
 */
export function defineFeature<
  Name extends string,
  Settings extends z.ZodType,
  Events extends LogEvents,
>(feature: Feature<Name, Settings, Events>): Feature<Name, Settings, Events> {
  return Object.freeze(feature);
}

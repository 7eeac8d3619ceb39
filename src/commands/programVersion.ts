/**
 * The version of the program, from its package.
 */
import packageInformation from '../../package.json' with { type: 'json' };

/** For example `0.1.0`. */
export const PROGRAM_VERSION: string = packageInformation.version;

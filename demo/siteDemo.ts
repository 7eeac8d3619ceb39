/**
 * A site on a platform in half a minute: daemons as processes before stand-ins of a store and of runners.
 * `npm run demo:site [-- --daemons 20 --seconds 20]`.
 */
import { createProgram } from '../src/commands/createProgram.js';
import { SiteDemoCommand } from './SiteDemoCommand.js';

const FIRST_ARGUMENT = 2;

const program = createProgram(process, { name: 'demo:site', commands: [SiteDemoCommand] });
void program.runExit(process.argv.slice(FIRST_ARGUMENT));

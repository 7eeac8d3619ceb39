/**
 * Demo of a site on a platform, half a minute long: daemons as processes, with stand-ins for the store and the runners.
 * `npm run demo:site [-- --daemons 20 --seconds 20]`.
 */
import { createProgram } from '../src/commands/createProgram.js';
import { SiteDemoCommand } from './SiteDemoCommand.js';

const FIRST_ARGUMENT = 2;

const program = createProgram(process, { name: 'demo:site', commands: [SiteDemoCommand] });
void program.runExit(process.argv.slice(FIRST_ARGUMENT));

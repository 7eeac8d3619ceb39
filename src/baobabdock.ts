/**
 * The program: one binary with a command for each job.
 */
import { createProgram } from './commands/createProgram.js';

/** The arguments come after the runtime and the script, also where the script is inside the binary. */
const FIRST_ARGUMENT = 2;

void createProgram(process).runExit(process.argv.slice(FIRST_ARGUMENT));

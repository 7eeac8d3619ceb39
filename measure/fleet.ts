/**
 * Measures the processor time and memory of a daemon as a real process, idle and under load.
 */
import { Command, Option } from 'clipanion';

import type { FleetFigures } from './fleet/measureFleet.js';
import { measureFleet } from './fleet/measureFleet.js';

const COLUMNS: readonly (readonly [keyof FleetFigures, string])[] = [
  ['daemons', 'daemons'],
  ['idleControlSentBytesPerSecond', 'control bytes sent a second and daemon, idle'],
  ['idleControlReceivedBytesPerSecond', 'control bytes received a second and daemon, idle'],
  ['idleControlCallsPerSecond', 'control calls made a second and daemon, idle'],
  ['idleProcessorShare', 'share of a core and daemon, idle'],
  ['residentMegabytes', 'resident megabytes a daemon, median'],
  ['platformCallsPerSecond', 'platform calls a second, all daemons, idle'],
  ['inForceMilliseconds', 'ms until a change was in force everywhere, median of changes'],
  ['requests', 'requests under load'],
  ['exactAnswers', 'exact answers under load'],
  ['innerHopsPerRequest', 'inner hops a request'],
  ['processorMicrosecondsPerRequest', 'processor microseconds a request, all daemons'],
  ['processorMicrosecondsPerToken', 'processor microseconds a further token, all daemons'],
];

/** `npm run measure -- fleet`. */
export class FleetMeasurement extends Command {
  static override paths = [['fleet']];

  static override usage = Command.Usage({
    description: 'Bytes, processor time and memory of daemons as real processes on loopback.',
    details:
      'Starts the stand-ins and daemons, reads their metrics pages over a time without load, makes changes, then ' +
      'asks chats with short and with long answers. The processor time of a token is the difference of the two.',
    examples: [
      ['Two dozen daemons', 'npm run measure -- fleet'],
      ['Callers that go where locate told them', 'npm run measure -- fleet --located'],
      ['The built binary', 'npm run measure -- fleet --binary dist/baobabdock'],
    ],
  });

  daemons = Option.String('--daemons', '24', { description: 'Daemons to start.' });

  seconds = Option.String('--seconds', '10', { description: 'How long to watch them idle.' });

  chats = Option.String('--chats', '200', { description: 'Chats of each kind under load.' });

  located = Option.Boolean('--located', false, {
    description: 'Each chat locates before it is measured.',
  });

  bound = Option.String('--bound', {
    description: 'Bound of the service; a wide one keeps gates from sending chats on.',
  });

  binary = Option.String('--binary', { description: 'A built binary to measure.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const figures = await measureFleet({
      daemons: Number(this.daemons),
      seconds: Number(this.seconds),
      chats: Number(this.chats),
      located: this.located,
      ...(this.bound ? { bound: Number(this.bound) } : {}),
      ...(this.binary ? { binary: this.binary } : {}),
    });
    const lines = COLUMNS.map(
      ([field, title]) => `${String(figures[field]).padStart(10)}  ${title}`,
    );
    this.context.stdout.write(this.json ? `${JSON.stringify(figures)}\n` : `${lines.join('\n')}\n`);
    return 0;
  }
}

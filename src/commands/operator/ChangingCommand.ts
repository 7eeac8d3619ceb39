/**
 * Base of the commands that change something: change id, reason, and waiting until the change is in force.
 */
import { randomUUID } from 'node:crypto';

import { Option } from 'clipanion';

import type { ChangeResponse } from '../../generated/baobabdock/v1/operators_pb.js';
import { ChangeResponseSchema, FleetService } from '../../generated/baobabdock/v1/operators_pb.js';
import type { OperatorClient } from '../../operators/OperatorClient.js';
import { EXIT_FAILURE, EXIT_SUCCESS } from '../ProgramCommand.js';
import { OperatorCommand } from './OperatorCommand.js';

/** Default timeout of the wait, in seconds: longer than a change takes to be in force on every daemon. */
const DEFAULT_WAIT_SECONDS = '10';

const MILLISECONDS_A_SECOND = 1000;

/** Base of the commands that change something. */
export abstract class ChangingCommand extends OperatorCommand {
  changeId = Option.String('--change-id', {
    description: 'Repeats a change whose answer was lost; by default each change has a new id.',
  });

  reason = Option.String('--reason', '', { description: 'Why, for the history.' });

  wait = Option.Boolean('--wait', false, {
    description: 'Return when the change is in force on every daemon, or say who lags.',
  });

  waitSeconds = Option.String('--wait-seconds', DEFAULT_WAIT_SECONDS, {
    description: `Longest wait, in seconds; ${DEFAULT_WAIT_SECONDS} unless given.`,
  });

  private chosenChangeId: string | undefined;

  /** @returns Change id and reason; the same for each daemon that is tried, so that the change is made once at most. */
  protected origin(): { changeId: string; reason: string } {
    this.chosenChangeId ??= this.changeId ?? randomUUID();
    return { changeId: this.chosenChangeId, reason: this.reason };
  }

  /**
   * Prints the answer to a change and, with `--wait`, waits until the change is in force.
   *
   * @param client - the client that sent the change.
   * @param answer - the daemon's answer.
   * @returns The exit code.
   */
  protected async concluded(client: OperatorClient, answer: ChangeResponse): Promise<number> {
    if (this.json) this.printJson(ChangeResponseSchema, answer);
    else {
      const repeated = answer.repeated ? ' (made by an earlier call)' : '';
      for (const { kind, name, effect } of answer.effects) {
        this.print(`${kind.replaceAll('_', ' ')} ${name}: ${effect}`);
      }
      this.print(`revision ${answer.revision}${repeated}`);
    }
    return this.wait ? this.waitFor(client, answer.revision) : EXIT_SUCCESS;
  }

  /**
   * @param client - a client of any daemons.
   * @param revision - the revision to wait for.
   * @returns Exit code: 0 if the revision is in force on every serving daemon, 1 otherwise.
   */
  protected async waitFor(client: OperatorClient, revision: bigint): Promise<number> {
    const timeoutMilliseconds = Number(this.waitSeconds) * MILLISECONDS_A_SECOND || 1;
    const answer = await client.call(FleetService, (fleet) =>
      fleet.waitInForce(
        { revision, timeoutMilliseconds },
        { timeoutMs: timeoutMilliseconds + MILLISECONDS_A_SECOND },
      ),
    );
    if (answer.inForce) {
      this.complain(`in force on ${answer.daemons} daemons after ${answer.waitedMilliseconds} ms`);
      return EXIT_SUCCESS;
    }
    this.complain(`not in force everywhere after ${answer.waitedMilliseconds} ms; these lag:`);
    for (const { daemonId, state, configurationRevision } of answer.lagging) {
      this.complain(`  ${daemonId} (${state}) has revision ${configurationRevision}`);
    }
    return EXIT_FAILURE;
  }
}

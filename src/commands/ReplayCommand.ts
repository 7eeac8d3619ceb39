/**
 * `baobabdock replay`: replays a recorded session and compares the resulting actions.
 */
import { readFileSync, writeFileSync } from 'node:fs';

import { Command, Option } from 'clipanion';

import type { HasKind } from '../decisions/Decisions.js';
import { Findings } from '../findings/Findings.js';
import { formatFields } from '../logging/formatFields.js';
import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from './ProgramCommand.js';
import { REPLAY_REGISTRY } from './replayRegistry.js';
import type { ReplayFactory } from './replayRegistry.js';
import { firstDifference, replaySession } from './replaySession.js';
import type { ReplayedStep } from './replaySession.js';
import { formatSession, parseSession } from './session.js';
import type { Session } from './session.js';

function formatKinded({ kind, ...fields }: HasKind): string {
  return `${kind} ${formatFields(fields)}`.trimEnd();
}

/** Replays a session, prints its actions and reports the first difference. */
export class ReplayCommand extends ProgramCommand {
  static override paths = [['replay']];

  static override usage = Command.Usage({
    category: 'Decisions',
    description: 'replay a recorded session',
    details: `
      Runs the messages of a session through the same decision classes that the daemon uses and prints
      for each step what was decided: what it chose, what it passed over and why.

      The first line of a session is \`{"feature": …, "options": …}\`, each further line a step
      \`{"at": milliseconds, "message": …, "actions": […]}\`. The command fails with the first difference
      where the file is not the same byte for byte; with \`--rewrite\` it writes the actions of now into
      the file, which also fills in a session that has messages only.
    `,
    examples: [
      ['See why a runner was chosen', '$0 replay golden/gates-surge.jsonl'],
      ['Only compare', '$0 replay --quiet golden/gates-surge.jsonl'],
      ['After an intended change of the decisions', '$0 replay --rewrite golden/gates-surge.jsonl'],
    ],
  });

  quiet = Option.Boolean('--quiet', false, { description: 'Print only the verdict.' });

  rewrite = Option.Boolean('--rewrite', false, {
    description: 'Write what comes out now into the file.',
  });

  file = Option.String({ name: 'session file', required: true });

  override async execute(): Promise<number> {
    const findings = new Findings();
    const session = this.readSession(findings);
    const factory = session && this.factoryOf(session, findings);
    if (!session || !factory || findings.hasAny) {
      this.complainOf(findings.list());
      return EXIT_FAILURE;
    }
    return this.replay(session, factory);
  }

  private replay(session: Session, factory: ReplayFactory): number {
    const steps = this.runSteps(session, factory);
    if (!steps) return EXIT_FAILURE;
    if (!this.quiet) steps.forEach((step) => this.printStep(step));
    const difference = firstDifference(steps);
    if (this.rewrite) {
      const written = steps.map(({ recorded, actions }) => ({ ...recorded.step, actions }));
      writeFileSync(this.file, formatSession(session.header, written));
      this.print(`${this.file}: ${steps.length} steps written`);
      return EXIT_SUCCESS;
    }
    if (!difference) {
      this.print(`${this.file}: ${steps.length} steps, all as recorded`);
      return EXIT_SUCCESS;
    }
    this.complainOf([
      { place: { file: this.file, line: difference.line }, message: difference.message },
    ]);
    return EXIT_FAILURE;
  }

  private runSteps(session: Session, factory: ReplayFactory): ReplayedStep[] | undefined {
    try {
      return replaySession(session, factory(session.header.options));
    } catch (error) {
      this.complain(`${this.file}: ${(error as Error).message}`);
      return undefined;
    }
  }

  private readSession(findings: Findings): Session | undefined {
    try {
      return parseSession(readFileSync(this.file, 'utf8'), this.file, findings);
    } catch (error) {
      findings.add({ file: this.file }, `cannot be read: ${(error as Error).message}`);
      return undefined;
    }
  }

  private factoryOf(session: Session, findings: Findings): ReplayFactory | undefined {
    const { feature } = session.header;
    if (Object.hasOwn(REPLAY_REGISTRY, feature)) return REPLAY_REGISTRY[feature];
    const known = Object.keys(REPLAY_REGISTRY).sort().join(', ');
    findings.add({ file: this.file, line: 1, field: 'feature' }, `has to be one of ${known}`);
    return undefined;
  }

  private printStep({ recorded, actions }: ReplayedStep): void {
    this.print(`${recorded.step.at} ms: ${formatKinded(recorded.step.message)}`);
    if (actions.length === 0) this.print('    nothing to do');
    for (const action of actions) this.print(`    ${formatKinded(action)}`);
  }
}

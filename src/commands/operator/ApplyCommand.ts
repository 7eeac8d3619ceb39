/**
 * `baobabdock operator apply FILE`: applies the resources of a YAML file in one change.
 */
import { readFile } from 'node:fs/promises';

import { Option, UsageError } from 'clipanion';

import type { FindingPlace } from '../../findings/Findings.js';
import { ResourceService } from '../../generated/baobabdock/v1/operators_pb.js';
import { ResourceFile } from '../../operators/ResourceFile.js';
import { EXIT_FAILURE } from '../ProgramCommand.js';
import { ChangingCommand } from './ChangingCommand.js';
import { operatorUsage } from './OperatorCommand.js';

/** Creates or changes all resources of a file, or none of them. */
export class ApplyCommand extends ChangingCommand {
  static override paths = [['operator', 'apply']];

  static override usage = operatorUsage({
    description: 'Create or change the resources of a YAML file.',
    details:
      'All of them in one change, or none. Every mistake is reported with file, line and column. What the file does not name stays as it is.',
    examples: [
      ['Apply', '$0 operator apply examples/litoral-resources.yaml --wait'],
      ['Only check', '$0 operator apply examples/litoral-resources.yaml --dry-run'],
    ],
  });

  file = Option.String();

  dryRun = Option.Boolean('--dry-run', false, {
    description: 'Let a daemon check everything and change nothing.',
  });

  private parsed: ResourceFile | undefined;

  protected override async run(): Promise<number> {
    this.parsed = new ResourceFile(await this.content(), this.file);
    const findings = this.parsed.findings();
    if (findings.length > 0) {
      this.complainOf(findings);
      return EXIT_FAILURE;
    }
    const client = await this.client();
    const { resources } = this.parsed;
    const request = { origin: this.origin(), resources, dryRun: this.dryRun };
    const answer = await client.call(ResourceService, (calls) => calls.apply(request));
    if (this.dryRun) this.wait = false;
    return this.concluded(client, answer);
  }

  protected override placeOf(field: string): FindingPlace {
    return this.parsed?.placeOfRequestField(field) ?? { field };
  }

  private async content(): Promise<string> {
    try {
      return await readFile(this.file, 'utf8');
    } catch (cause) {
      throw new UsageError(`${this.file} cannot be read: ${(cause as Error).message}`);
    }
  }
}

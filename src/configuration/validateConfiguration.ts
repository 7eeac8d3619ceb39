/**
 * Validates a whole configuration. A change that leads to an invalid configuration is refused as a whole, with
 * all findings.
 */
import { Findings } from '../findings/Findings.js';
import type { Finding } from '../findings/Findings.js';
import type {
  ClientAccount,
  Drain,
  ModelVersion,
  Rollout,
  RoutingPolicy,
  Service,
} from '../generated/baobabdock/v1/configuration_pb.js';
import { drainName } from '../operators/resourceKinds.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { entityField } from './entities.js';
import { FieldChecks } from './FieldChecks.js';

const PRIORITIES = ['urgent', 'standard', 'background'];
const SERVICE_KINDS = ['engine', 'plain'];
/** An empty role leaves the runner's role unchanged. */
const WANTED_ROLES = ['', 'prefill', 'decode', 'mixed'];
const VERSION_STATES = ['available', 'withdrawn'];
const OVERFLOWS = ['never', 'region', 'anywhere'];
const DRAIN_KINDS = ['daemon', 'runner'];
const ROLLOUT_STATES = ['running', 'halted', 'rolling_back', 'finished', 'rolled_back'];

const MAXIMUM_WEIGHT = 1000;
const MAXIMUM_CHOICES = 64;
const MINIMUM_BOUND = 1.05;
const MAXIMUM_BOUND = 10;
const SALT_BYTES = 8;
const DIGEST_BYTES = 32;
const MAXIMUM_KEYS = 16;

/** Path prefixes that the callers' interface itself uses. */
const RESERVED_PREFIXES = ['/v1', '/locate', '/health', '/metrics'];

const METHOD = /^[A-Z]{1,20}$/u;
const PATH_PREFIX = /^(?:\/[A-Za-z0-9._~-]+)+$/u;

/** Whether one of two paths begins with all segments of the other. */
function overlap(a: string, b: string): boolean {
  return `${a}/`.startsWith(`${b}/`) || `${b}/`.startsWith(`${a}/`);
}

/** Validates all entities of one state. */
class ConfigurationValidator {
  private readonly findings = new Findings();

  private readonly services: ReadonlyMap<string, Service>;

  private readonly policies: ReadonlySet<string>;

  private readonly versions: readonly ModelVersion[];

  constructor(private readonly state: ConfigurationState) {
    const { services, routingPolicies, modelVersions } = state.configuration();
    this.services = new Map(services.map((service) => [service.name, service]));
    this.policies = new Set(routingPolicies.map((policy) => policy.name));
    this.versions = modelVersions;
  }

  validate(): readonly Finding[] {
    const whole = this.state.configuration();
    whole.clientAccounts.forEach((account) => this.account(account));
    whole.services.forEach((service) => this.service(service));
    whole.modelVersions.forEach((version) => this.version(version));
    whole.routingPolicies.forEach((policy) => this.policy(policy));
    whole.drains.forEach((drain) => this.drain(drain));
    whole.rollouts.forEach((rollout) => this.rollout(rollout));
    this.checkKeysUnique(whole.clientAccounts);
    this.checkModelsUnique(whole.services);
    this.checkVersionsUnique();
    this.checkPrefixesDisjoint(whole.services);
    return this.findings.list();
  }

  private account(account: ClientAccount): void {
    const check = this.checksFor('client_account', account.name);
    check.name('name', account.name);
    check.notEmpty('firm', account.firm);
    check.oneOf('highestPriority', account.highestPriority, PRIORITIES);
    check.range('weight', account.weight, 0, MAXIMUM_WEIGHT);
    check.range('keys', account.keys.length, 0, MAXIMUM_KEYS);
    check.distinct('services', account.services);
    account.keys.forEach(({ keyId, salt, digest }, index) => {
      check.notEmpty(`keys[${index}].keyId`, keyId);
      check.requireThat(
        `keys[${index}].salt`,
        salt.length >= SALT_BYTES,
        `needs ${SALT_BYTES} bytes`,
      );
      check.requireThat(
        `keys[${index}].digest`,
        digest.length === DIGEST_BYTES,
        'is no SHA-256 digest',
      );
    });
    account.services.forEach((name, index) => {
      const service = this.services.get(name);
      const field = `services[${index}]`;
      if (!service) check.requireThat(field, false, `names the missing service ${name}`);
      else if (service.firm !== account.firm)
        check.requireThat(
          field,
          false,
          `names ${name} of firm ${service.firm}, not of ${account.firm}`,
        );
    });
  }

  private service(service: Service): void {
    const check = this.checksFor('service', service.name);
    check.name('name', service.name);
    check.notEmpty('firm', service.firm);
    check.oneOf('kind', service.kind, SERVICE_KINDS);
    const { routingPolicy } = service;
    const known = routingPolicy === '' || this.policies.has(routingPolicy);
    check.requireThat('routingPolicy', known, `names the missing policy ${routingPolicy}`);
    check.distinct('idempotentMethods', service.idempotentMethods);
    service.idempotentMethods.forEach((method, index) =>
      check.requireThat(
        `idempotentMethods[${index}]`,
        METHOD.test(method),
        'is no method in capitals',
      ),
    );
    if (service.kind === 'engine') this.engine(service, check);
    if (service.kind === 'plain') this.plain(service, check);
  }

  private engine(service: Service, check: FieldChecks): void {
    check.notEmpty('model', service.model);
    check.requireThat('pathPrefix', service.pathPrefix === '', 'belongs to plain services only');
    const knownRole = WANTED_ROLES.includes(service.wantedRole);
    check.requireThat('wantedRole', knownRole, 'has to be prefill, decode or mixed, or empty');
    if (service.wantedVersion === '') return;
    const wanted = this.versions.find(
      ({ model, version }) => model === service.model && version === service.wantedVersion,
    );
    const field = 'wantedVersion';
    check.requireThat(field, wanted !== undefined, `names a missing version of ${service.model}`);
    if (!wanted) return;
    check.requireThat(field, wanted.state !== 'withdrawn', `names the withdrawn ${wanted.version}`);
    service.wantedAdapters.forEach((adapter, index) =>
      check.requireThat(
        `wantedAdapters[${index}]`,
        wanted.adapters.includes(adapter),
        `names ${adapter}, which ${wanted.name} does not have`,
      ),
    );
  }

  private plain(service: Service, check: FieldChecks): void {
    const { pathPrefix } = service;
    check.requireThat(
      'pathPrefix',
      PATH_PREFIX.test(pathPrefix),
      'has to be a path like "/services/x"',
    );
    const reserved = RESERVED_PREFIXES.find((prefix) => overlap(prefix, pathPrefix));
    check.requireThat(
      'pathPrefix',
      reserved === undefined,
      `overlaps with the reserved ${reserved}`,
    );
    check.requireThat('model', service.model === '', 'belongs to engines only');
    check.requireThat('wantedVersion', service.wantedVersion === '', 'belongs to engines only');
    check.requireThat('wantedRole', service.wantedRole === '', 'belongs to engines only');
    check.requireThat(
      'wantedAdapters',
      service.wantedAdapters.length === 0,
      'belongs to engines only',
    );
  }

  private version(version: ModelVersion): void {
    const check = this.checksFor('model_version', version.name);
    check.name('name', version.name);
    check.notEmpty('model', version.model);
    check.notEmpty('version', version.version);
    check.notEmpty('weightLocation', version.weightLocation);
    check.requireThat('weightBytes', version.weightBytes > 0n, 'has to be above 0');
    check.oneOf('state', version.state, VERSION_STATES);
    check.distinct('adapters', version.adapters);
  }

  private policy(policy: RoutingPolicy): void {
    const check = this.checksFor('routing_policy', policy.name);
    check.name('name', policy.name);
    check.range('bound', policy.bound, MINIMUM_BOUND, MAXIMUM_BOUND);
    check.range('warmChoices', policy.warmChoices, 1, MAXIMUM_CHOICES);
    check.range('coldChoices', policy.coldChoices, 1, MAXIMUM_CHOICES);
    check.range('reuseWeight', policy.reuseWeight, 0, 1);
    check.oneOf('overflow', policy.overflow, OVERFLOWS);
  }

  private drain(drain: Drain): void {
    const check = this.checksFor('drain', drainName(drain));
    check.oneOf('kind', drain.kind, DRAIN_KINDS);
    check.notEmpty('id', drain.id);
  }

  private rollout(rollout: Rollout): void {
    const check = this.checksFor('rollout', rollout.name);
    check.notEmpty('name', rollout.name);
    check.oneOf('state', rollout.state, ROLLOUT_STATES);
    check.range('maximumUnavailableShare', rollout.maximumUnavailableShare, 0, 1);
    if (rollout.state === 'finished' || rollout.state === 'rolled_back') return;
    const service = this.services.get(rollout.service);
    check.requireThat(
      'service',
      service !== undefined,
      `names the missing service ${rollout.service}`,
    );
    const known = this.versions.some(
      ({ model, version }) => model === service?.model && version === rollout.toVersion,
    );
    check.requireThat(
      'toVersion',
      known || !service,
      `names a missing version of ${service?.model}`,
    );
  }

  /**
   * Callers are identified by their key alone: with one key id in two accounts, requests could be attributed to
   * the wrong account.
   */
  private checkKeysUnique(accounts: readonly ClientAccount[]): void {
    const owners = new Map<string, string>();
    for (const { name, keys } of accounts) {
      keys.forEach(({ keyId }, index) => {
        const owner = owners.get(keyId);
        const field = `keys[${index}].keyId`;
        const check = this.checksFor('client_account', name);
        check.requireThat(field, owner === undefined, `${keyId} is already a key of ${owner}`);
        owners.set(keyId, owner ?? name);
      });
    }
  }

  private checkModelsUnique(services: readonly Service[]): void {
    const owners = new Map<string, string>();
    for (const { kind, firm, model, name } of services) {
      if (kind !== 'engine' || model === '') continue;
      const key = JSON.stringify([firm, model]);
      const owner = owners.get(key);
      const check = this.checksFor('service', name);
      check.requireThat('model', owner === undefined, `${model} is already served by ${owner}`);
      owners.set(key, owner ?? name);
    }
  }

  private checkVersionsUnique(): void {
    const owners = new Map<string, string>();
    for (const { model, version, name } of this.versions) {
      const key = JSON.stringify([model, version]);
      const owner = owners.get(key);
      const check = this.checksFor('model_version', name);
      check.requireThat('version', owner === undefined, `${model} ${version} is already ${owner}`);
      owners.set(key, owner ?? name);
    }
  }

  /** With overlapping prefixes, the service of a request would depend on the order in which a daemon checks them. */
  private checkPrefixesDisjoint(services: readonly Service[]): void {
    const plain = services
      .filter(({ kind, pathPrefix }) => kind === 'plain' && pathPrefix !== '')
      .sort((a, b) => (a.pathPrefix < b.pathPrefix ? -1 : 1));
    plain.forEach((service, index) => {
      const other = plain
        .slice(0, index)
        .find((known) => overlap(known.pathPrefix, service.pathPrefix));
      const check = this.checksFor('service', service.name);
      check.requireThat(
        'pathPrefix',
        !other,
        `overlaps with ${other?.pathPrefix} of ${other?.name}`,
      );
    });
  }

  private checksFor(kind: Parameters<typeof entityField>[0]['kind'], name: string): FieldChecks {
    return new FieldChecks({ findings: this.findings, entity: entityField({ kind, name }) });
  }
}

/**
 * Checks a whole configuration.
 *
 * @param state - the state that a change would lead to.
 * @returns All findings, with fields such as `services[tile-sales].routingPolicy`.
 */
export function validateConfiguration(state: ConfigurationState): readonly Finding[] {
  return new ConfigurationValidator(state).validate();
}

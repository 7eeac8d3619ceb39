/**
 * Finds the service of a request and checks that the account may call it.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { ClientAccount, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Priority } from '../gates/gateTypes.js';
import { PRIORITIES } from '../gates/gateTypes.js';
import { CallerError } from './CallerError.js';

/** Priority of a request that names none, and the highest priority of an account that configures none. */
const DEFAULT_PRIORITY: Priority = 'standard';

/** Methods that HTTP defines as idempotent (RFC 9110, section 9.2.2), as far as services use them. */
const IDEMPOTENT_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'];

/**
 * Checks whether an account may call a service.
 *
 * @param account - the account of the request.
 * @param service - the service to call.
 * @returns Whether the account lists the service or, if it lists none, belongs to the same firm.
 */
export function mayCall(account: ClientAccount, service: Service): boolean {
  if (account.services.length === 0) return account.firm === service.firm;
  return account.services.includes(service.name);
}

function forbidden(account: ClientAccount, what: string): CallerError {
  return new CallerError({
    code: 'forbidden',
    message: `account ${account.name} may not call ${what}`,
  });
}

/** Engine services with a model: those of the account's firm first, then by name, so that all daemons agree. */
function enginesFor(fleet: FleetView, account: ClientAccount, model: string): Service[] {
  const firmRank = (service: Service): number => (service.firm === account.firm ? 0 : 1);
  return fleet
    .configuration()
    .services.filter(({ kind }) => kind === 'engine')
    .filter((service) => service.model === model || service.wantedAdapters.includes(model))
    .sort((a, b) => firmRank(a) - firmRank(b) || (a.name < b.name ? -1 : 1));
}

/**
 * Finds the engine service for a model.
 *
 * @param fleet - the fleet with the configured services.
 * @param account - the account of the request.
 * @param model - the name of a model or of one of its adapters.
 * @returns The first service with the model that the account may call.
 * @throws {@link CallerError} `unknown_model` or `forbidden`.
 */
export function findEngineService(
  fleet: FleetView,
  account: ClientAccount,
  model: string,
): Service {
  const services = enginesFor(fleet, account, model);
  if (services.length === 0) {
    throw new CallerError({ code: 'unknown_model', message: `no service has the model ${model}` });
  }
  const service = services.find((candidate) => mayCall(account, candidate));
  if (!service) throw forbidden(account, `a service with the model ${model}`);
  return service;
}

/**
 * Finds a service by its name.
 *
 * @param fleet - the fleet with the configured services.
 * @param account - the account of the request.
 * @param name - the name of the service.
 * @returns The service.
 * @throws {@link CallerError} `unknown_service` or `forbidden`.
 */
export function findService(fleet: FleetView, account: ClientAccount, name: string): Service {
  const service = fleet.service(name);
  if (!service) {
    throw new CallerError({ code: 'unknown_service', message: `there is no service ${name}` });
  }
  if (!mayCall(account, service)) throw forbidden(account, `the service ${name}`);
  return service;
}

function coversPath(prefix: string, pathname: string): boolean {
  if (prefix === '') return false;
  const trimmed = prefix.replace(/\/+$/u, '');
  return pathname === trimmed || pathname.startsWith(`${trimmed}/`);
}

/**
 * Finds the plain service whose path prefix is the longest match of a path.
 *
 * @param fleet - the fleet with the configured services.
 * @param pathname - the path of the request, with dot segments resolved.
 * @returns The service, or `undefined` when no prefix matches.
 */
export function findPlainService(fleet: FleetView, pathname: string): Service | undefined {
  return fleet
    .configuration()
    .services.filter(({ kind, pathPrefix }) => kind === 'plain' && coversPath(pathPrefix, pathname))
    .reduce<Service | undefined>(
      (longest, service) =>
        longest && longest.pathPrefix.length >= service.pathPrefix.length ? longest : service,
      undefined,
    );
}

/**
 * Limits the priority of a request to the highest one that its account may use.
 *
 * @param account - the account of the request.
 * @param requested - the priority that the request names.
 * @returns The priority to use.
 */
export function limitPriority(
  account: ClientAccount,
  requested: Priority = DEFAULT_PRIORITY,
): Priority {
  const highest = PRIORITIES.find((name) => name === account.highestPriority) ?? DEFAULT_PRIORITY;
  return PRIORITIES.indexOf(requested) < PRIORITIES.indexOf(highest) ? highest : requested;
}

/**
 * Checks whether a method of a plain service is idempotent by default. The service's configuration takes
 * precedence over the definition of HTTP.
 *
 * @param service - a plain service.
 * @param method - the HTTP method of the request.
 * @returns Whether requests with this method may be repeated.
 */
export function isIdempotentMethod(service: Service, method: string): boolean {
  const { idempotentMethods } = service;
  return (idempotentMethods.length > 0 ? idempotentMethods : IDEMPOTENT_METHODS).includes(method);
}

/**
 * Route `GET /locate`: tells a caller which daemon addresses to use, and for how long.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { ClientAccount, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { requireAccount } from './requireAccount.js';
import { CallerError } from './CallerError.js';
import { isChatName } from './callerHeaders.js';
import { CallerRoute } from './CallerRoute.js';
import { CALLER_EVENTS } from './callersFeature.js';
import type { CallerContext } from './callersTypes.js';
import { qualifiedChatName } from './chatName.js';
import type { Exchange } from './Exchange.js';
import { predictFirstRunner } from './predictFirstRunner.js';
import type {
  EntryDaemon,
  LocateAction,
  LocateDecisions,
  LocateMessage,
} from './LocateDecisions.js';
import { findEngineService, findService } from './serviceAccess.js';

/** Retry-After sent when no daemon is known to be alive, in milliseconds. */
const NO_DAEMON_RETRY_MILLISECONDS = 1000;

function entryDaemon(member: Member): EntryDaemon {
  return {
    id: member.daemonId,
    address: member.callerAddress,
    region: member.region,
    dataCentre: member.dataCentre,
    state: member.state,
    load: member.pools.reduce((sum, { load }) => sum + load, 0),
  };
}

/** Finds the gate that the next request of a chat will probably be sent to. */
async function findGateOfChat(
  { fleet, homes }: CallerContext,
  service: string,
  chat: string,
): Promise<LocateMessage['gate']> {
  const { region, dataCentre } = fleet.self();
  const warm = (await homes?.findWarmRunners(chat, service)) ?? [];
  const first = predictFirstRunner({
    chat,
    region,
    dataCentre,
    runners: fleet.runners(service),
    warm: warm.map(({ runnerId }) => runnerId),
  });
  const daemon = first && fleet.gateOf(first.runnerId);
  return daemon && { ...first, daemonId: daemon.daemonId };
}

/** Answers with the addresses that {@link LocateDecisions} selects. */
export class LocateRoute extends CallerRoute {
  override readonly name = 'locate';

  private readonly decisions: LocateDecisions;

  /**
   * @param decisions - selects and orders the addresses.
   */
  constructor(decisions: LocateDecisions) {
    super();
    this.decisions = decisions;
  }

  override async answer(exchange: Exchange): Promise<void> {
    const account = requireAccount(exchange);
    const query = exchange.url?.searchParams ?? new URLSearchParams();
    const chat = query.get('chat') ?? undefined;
    const namesService = query.has('service') || query.has('model');
    if (chat !== undefined && !isChatName(chat)) {
      exchange.findings.add({ field: 'chat' }, 'must be 1 to 200 printable ASCII characters');
    }
    if (chat !== undefined && !namesService) {
      exchange.findings.add({ field: 'service' }, 'or model must be named with a chat');
    }
    exchange.checkFindings();
    const service = this.findRequestedService(exchange.context.fleet, account, query);
    exchange.note({ service: service?.name, chat });
    const gate =
      service && chat !== undefined
        ? await findGateOfChat(
            exchange.context,
            service.name,
            qualifiedChatName(account.name, chat),
          )
        : undefined;
    await this.sendAnswer(exchange, this.decideAddresses(exchange, gate), gate);
  }

  private findRequestedService(
    fleet: FleetView,
    account: ClientAccount,
    query: URLSearchParams,
  ): Service | undefined {
    const name = query.get('service');
    if (name !== null) return findService(fleet, account, name);
    const model = query.get('model');
    return model === null ? undefined : findEngineService(fleet, account, model);
  }

  private decideAddresses(
    { context, requestId }: Exchange,
    gate: LocateMessage['gate'],
  ): LocateAction {
    const self = context.fleet.self();
    const [action] = this.decisions.decide(context.clock.monotonicMilliseconds(), {
      kind: 'locate',
      spreadKey: requestId,
      region: self.region,
      dataCentre: self.dataCentre,
      daemons: context.fleet.members().map(entryDaemon),
      gate,
    });
    if (action && action.addresses.length > 0) return action;
    throw new CallerError({
      code: 'not_run',
      message: 'no daemon is known to be alive',
      retryAfterMilliseconds: NO_DAEMON_RETRY_MILLISECONDS,
    });
  }

  private async sendAnswer(
    exchange: Exchange,
    { addresses, keepSeconds }: LocateAction,
    gate: LocateMessage['gate'],
  ): Promise<void> {
    exchange.context.log.write(CALLER_EVENTS.located, {
      requestId: exchange.requestId,
      clientAccount: exchange.clientAccount?.name,
      service: exchange.notes.service,
      chat: exchange.notes.chat,
      firstRunner: gate?.runnerId,
      firstRunnerBecause: gate?.why,
      addresses: addresses.map(({ daemonId, address, reason }) => ({ daemonId, address, reason })),
      keepSeconds,
    });
    const document = {
      addresses: addresses.map(({ address }) => address),
      keepSeconds,
      service: exchange.notes.service,
      chat: exchange.notes.chat,
    };
    await exchange.sendJson(200, document, {
      'cache-control': `private, max-age=${keepSeconds}`,
      vary: 'authorization',
    });
  }
}

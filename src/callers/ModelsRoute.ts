/**
 * Routes `GET /v1/models` and `GET /v1/models/{model}`: the models that an account may call.
 */
import type { ClientAccount, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import { requireAccount } from './requireAccount.js';
import { CallerError } from './CallerError.js';
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';
import { MODELS_PATH } from './matchRoute.js';
import { mayCall } from './serviceAccess.js';

/** One model in the JSON format that clients of model engines expect. */
interface ModelDocument {
  readonly id: string;
  readonly object: 'model';
  /** Creation time. Clients require the field, but the time is not known here. */
  readonly created: 0;
  readonly owned_by: string;
  /** For an adapter: the model that it belongs to. */
  readonly parent?: string;
}

function modelDocumentsOf({ model, firm, wantedAdapters }: Service): ModelDocument[] {
  const base = { object: 'model', created: 0, owned_by: firm } as const;
  const adapters = wantedAdapters.map((id) => ({ id, ...base, parent: model }));
  return [{ id: model, ...base }, ...adapters];
}

/** Lists the models and adapters that the caller's account may call. */
export class ModelsRoute extends CallerRoute {
  override readonly name = 'models';

  override async answer(exchange: Exchange): Promise<void> {
    const models = this.modelsOf(exchange, requireAccount(exchange));
    const pathname = exchange.url?.pathname ?? '';
    if (pathname === MODELS_PATH) {
      await exchange.sendJson(200, { object: 'list', data: models });
      return;
    }
    const id = pathname.slice(MODELS_PATH.length + 1);
    const model = models.find(
      (candidate) => encodeURIComponent(candidate.id) === id || candidate.id === id,
    );
    if (!model)
      throw new CallerError({ code: 'unknown_model', message: `there is no model ${id}` });
    await exchange.sendJson(200, model);
  }

  private modelsOf({ context }: Exchange, account: ClientAccount): ModelDocument[] {
    const documents = context.fleet
      .configuration()
      .services.filter((service) => service.kind === 'engine' && mayCall(account, service))
      .flatMap(modelDocumentsOf);
    const byId = new Map(documents.map((document) => [document.id, document]));
    return [...byId.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }
}

/**
 * What an engine stand-in has loaded, and the orders that change it.
 */
import { z } from 'zod';

/** `POST /orders`. */
export const orderRequestSchema = z.object({
  fencing_token: z.number().int().nonnegative(),
  order: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('load_version'), model: z.string(), version: z.string() }),
    z.object({ kind: z.literal('unload_version'), model: z.string(), version: z.string() }),
    z.object({ kind: z.literal('load_adapter'), model: z.string(), adapter: z.string() }),
    z.object({ kind: z.literal('unload_adapter'), model: z.string(), adapter: z.string() }),
    z.object({ kind: z.literal('change_role'), role: z.enum(['prefill', 'decode', 'mixed']) }),
  ]),
});

type Order = z.output<typeof orderRequestSchema>['order'];

/** Options of {@link EngineModels}. */
export interface EngineModelsOptions {
  model: string;
  versions?: readonly string[];
  adapters?: readonly string[];
  /** Whether an old fencing token is refused. */
  checksFencing?: boolean;
  /** Milliseconds to load a version or an adapter. */
  loadMilliseconds?: number;
  /** Runs an action later. */
  after: (milliseconds: number, action: () => void) => void;
  /** Called when the loaded versions changed. */
  changed?: () => void;
}

/** How an order was answered. */
export interface OrderAnswer {
  readonly status: number;
  readonly value: object;
}

const DEFAULT_LOAD_MILLISECONDS = 500;

function add(list: readonly string[], item: string): string[] {
  return list.includes(item) ? [...list] : [...list, item];
}

function remove(list: readonly string[], item: string): string[] {
  return list.filter((other) => other !== item);
}

/** Takes orders; each is a desired state, so that a repeated one changes nothing. */
export class EngineModels {
  readonly model: string;

  private readonly checksFencing: boolean;

  private readonly loadMilliseconds: number;

  private readonly after: EngineModelsOptions['after'];

  private readonly changed: () => void;

  private versions: string[];

  private adapters: string[];

  private loading: string[] = [];

  private role = 'mixed';

  private highestFencingToken = 0;

  /** Orders that took effect, with their fencing token, in order: for tests. */
  readonly effects: { readonly fencingToken: number; readonly order: Order }[] = [];

  /**
   * @param options - what is loaded at first, and how orders are taken.
   */
  constructor({
    model,
    versions = ['1'],
    adapters = [],
    checksFencing = true,
    loadMilliseconds = DEFAULT_LOAD_MILLISECONDS,
    after,
    changed = () => {},
  }: EngineModelsOptions) {
    this.model = model;
    this.versions = [...versions];
    this.adapters = [...adapters];
    this.checksFencing = checksFencing;
    this.loadMilliseconds = loadMilliseconds;
    this.after = after;
    this.changed = changed;
  }

  /** @returns The body of `GET /state`. */
  stateJson(): object {
    const { model, versions, adapters, role, loading } = this;
    return { model, versions, adapters, role, loading };
  }

  /**
   * @param body - a parsed order.
   * @returns Status and body of the answer.
   * @throws ZodError when the body has another form.
   */
  order(body: unknown): OrderAnswer {
    const { fencing_token: token, order } = orderRequestSchema.parse(body);
    if (this.checksFencing && token < this.highestFencingToken) {
      return { status: 409, value: { highest_fencing_token: this.highestFencingToken } };
    }
    this.highestFencingToken = Math.max(this.highestFencingToken, token);
    if ('model' in order && order.model !== this.model) {
      return { status: 422, value: { message: `this engine serves ${this.model}` } };
    }
    this.effects.push({ fencingToken: token, order });
    this.apply(order);
    return { status: 200, value: { accepted: true } };
  }

  private apply(order: Order): void {
    if (order.kind === 'change_role') this.role = order.role;
    if (order.kind === 'unload_version') this.versions = remove(this.versions, order.version);
    if (order.kind === 'unload_adapter') this.adapters = remove(this.adapters, order.adapter);
    if (order.kind === 'load_version' && !this.versions.includes(order.version)) {
      this.load(order.version, () => {
        this.versions = add(this.versions, order.version);
        this.changed();
      });
    }
    if (order.kind === 'load_adapter' && !this.adapters.includes(order.adapter)) {
      this.load(order.adapter, () => {
        this.adapters = add(this.adapters, order.adapter);
      });
    }
  }

  private load(what: string, loaded: () => void): void {
    if (this.loading.includes(what)) return;
    this.loading = add(this.loading, what);
    this.after(this.loadMilliseconds, () => {
      this.loading = remove(this.loading, what);
      loaded();
    });
  }
}

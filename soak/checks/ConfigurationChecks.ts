/**
 * Checks the promises on configurations: in force within the bound at connected daemons, and never an older one again.
 *
 * Each version has a route `since-N` for each version N so far, and a route `only-N` that no other version has.
 */
import type { Call, SoakCallers } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import type { SoakSite } from '../SoakSite.js';
import { CHANGE_BOUND_MILLISECONDS, LATENESS_MILLISECONDS } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

const OK = 200;
const NOT_FOUND = 404;

/** Interval between two checks of a daemon, in ms. */
const LOOK_MILLISECONDS = 250;

/** Time by which requests on different connections may overtake each other, in ms. */
const OVERTAKING_MILLISECONDS = 250;

const IN_FORCE = 'configurations are in force in time';

/** Options of {@link ConfigurationChecks}. */
export interface ConfigurationChecksOptions {
  site: SoakSite;
  contact: Contact;
  violations: Violations;
}

interface Seen {
  readonly version: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** Sends requests whose answers depend on the version, and checks the answers. */
export class ConfigurationChecks {
  private readonly options: ConfigurationChecksOptions;

  /** Newest version that was seen in force, by process of a daemon. */
  private readonly newest = new WeakMap<object, Seen>();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - environment, contact and violations.
   */
  constructor(options: ConfigurationChecksOptions) {
    this.options = options;
  }

  /**
   * @param callers - callers that send the requests.
   */
  start(callers: SoakCallers): void {
    const lookAtAll = () => {
      for (const daemon of this.options.site.daemons) if (daemon.isUp) this.lookAt(daemon, callers);
    };
    this.timer = setInterval(lookAtAll, LOOK_MILLISECONDS);
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private lookAt(daemon: SoakDaemon, callers: SoakCallers): void {
    const { version = 1 } = this.options.site.versions.at(-1) ?? {};
    const { life } = daemon;
    const take = (isOfThis: boolean, looked: number) => (call: Call) => {
      if (life !== daemon.life || life?.isEnding) return;
      this.lookAtBound(call, isOfThis, looked);
      if (isOfThis && life) this.lookAtOrder(call, life, looked);
    };
    void callers.call(daemon, 'look', `/since-${version}/`).then(take(true, version));
    void callers.call(daemon, 'look', `/only-${version - 1}/`).then(take(false, version - 1));
  }

  /** The route of the newest version has to exist, and the one of the version before must not. */
  private lookAtBound(
    { id, daemon, answer, sentAt, endedAt }: Call,
    isOfNew: boolean,
    version: number,
  ) {
    const { site, contact, violations } = this.options;
    const bounding = site.versions.find((one) => one.version === (isOfNew ? version : version + 1));
    if (!bounding || !answer || ![OK, NOT_FOUND].includes(answer.status)) return;
    const dueAt = bounding.at + CHANGE_BOUND_MILLISECONDS + LATENESS_MILLISECONDS;
    if (sentAt < dueAt || !contact.holds(daemon, sentAt, endedAt)) return;
    const isThere = answer.status === OK;
    const told = () =>
      `daemon-${daemon} ${isThere ? 'serves' : 'does not know'} the route of version ${version}, ` +
      `${Math.round(sentAt - bounding.at)} ms after version ${bounding.version}`;
    violations.check(IN_FORCE, isThere === isOfNew, told, id);
  }

  private lookAtOrder({ id, daemon, answer, sentAt }: Call, life: object, version: number): void {
    const newest = this.newest.get(life);
    if (answer?.status === OK && version > (newest?.version ?? 0)) {
      this.newest.set(life, { version, at: performance.now() });
      return;
    }
    const isLater = newest !== undefined && sentAt > newest.at + OVERTAKING_MILLISECONDS;
    if (!answer || !isLater || version > newest.version) return;
    const told = () => `daemon-${daemon} goes back behind version ${newest.version}`;
    const holds = answer.status !== NOT_FOUND;
    this.options.violations.check('versions never go back', holds, told, id);
  }
}

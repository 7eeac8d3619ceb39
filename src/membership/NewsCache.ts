/**
 * The latest news (load and revisions) of the daemons of this data centre, and summaries of the other data
 * centres. A message carries a fixed number of the most recent ones, so its size does not grow with the fleet,
 * while the age of the news grows slowly.
 */
import type { LocalNews, MemberNews, MemberRecord, PoolNews, Summary } from './membershipTypes.js';

type RevisionField = 'configurationRevision' | 'runnersRevision';

interface Dated<News> {
  readonly news: News;
  /** Monotonic milliseconds at which the sender measured it. */
  readonly measuredAt: number;
}

/**
 * A summary needs news of at least this share of a data centre's daemons; with fewer its load would be wrong.
 */
const MINIMUM_SHARE = 0.8;

/** A summary replaces a known one only if it is younger by this, in ms; relays add small clock differences. */
const YOUNGER_BY_MILLISECONDS = 100;

function youngest<News>(entries: Iterable<Dated<News>>, limit: number): Dated<News>[] {
  return [...entries].sort((a, b) => b.measuredAt - a.measuredAt).slice(0, limit);
}

function addPool(sums: Map<string, PoolNews>, pool: PoolNews): void {
  const sum = sums.get(pool.service);
  if (!sum) {
    sums.set(pool.service, pool);
    return;
  }
  const lighter = pool.lightestRunner !== '' && pool.lightestLoad < sum.lightestLoad;
  sums.set(pool.service, {
    service: pool.service,
    runners: sum.runners + pool.runners,
    load: sum.load + pool.load,
    lightestRunner: lighter ? pool.lightestRunner : sum.lightestRunner,
    lightestLoad: lighter ? pool.lightestLoad : sum.lightestLoad,
  });
}

/** Keeps the latest news by daemon and the latest summary by data centre. */
export class NewsCache {
  private readonly news = new Map<string, Dated<MemberNews>>();

  /**
   * Revisions that daemons of other data centres sent in direct exchanges; their loads are in the summaries.
   */
  private readonly remoteRevisions = new Map<string, LocalNews>();

  private readonly summaries = new Map<string, Dated<Summary>>();

  /**
   * @param daemonId - a daemon's name.
   * @returns Its latest news, or `undefined`.
   */
  newsOf(daemonId: string): LocalNews | undefined {
    return this.news.get(daemonId)?.news ?? this.remoteRevisions.get(daemonId);
  }

  /**
   * Stores the revisions of a daemon of another data centre.
   *
   * @param daemonId - the daemon's name.
   * @param revisions - the revisions that it has in force.
   * @returns Whether they differ from the known ones.
   */
  storeRevisions(
    daemonId: string,
    { configurationRevision, runnersRevision }: Pick<LocalNews, RevisionField>,
  ): boolean {
    const known = this.remoteRevisions.get(daemonId);
    const isKnown =
      known?.configurationRevision === configurationRevision &&
      known.runnersRevision === runnersRevision;
    if (isKnown) return false;
    const revisions = { configurationRevision, runnersRevision };
    this.remoteRevisions.set(daemonId, { ...revisions, configurationDigest: '', pools: [] });
    return true;
  }

  /**
   * Stores the news of a daemon if they are newer than the known ones.
   *
   * @param now - monotonic milliseconds.
   * @param news - the news.
   * @returns Whether they were stored.
   */
  storeNews(now: number, news: MemberNews): boolean {
    const known = this.news.get(news.daemonId)?.news;
    const isOlder =
      known !== undefined &&
      (news.incarnation < known.incarnation ||
        (news.incarnation === known.incarnation && news.version <= known.version));
    if (isOlder) return false;
    this.news.set(news.daemonId, { news, measuredAt: now - news.ageMilliseconds });
    return true;
  }

  /**
   * Stores the summary of another data centre if it is younger than the known one.
   *
   * @param now - monotonic milliseconds.
   * @param summary - the summary.
   * @returns Whether it was stored.
   */
  storeSummary(now: number, summary: Summary): boolean {
    const measuredAt = now - summary.ageMilliseconds;
    const known = this.summaries.get(summary.dataCentre);
    if (known && measuredAt < known.measuredAt + YOUNGER_BY_MILLISECONDS) return false;
    this.summaries.set(summary.dataCentre, { news: summary, measuredAt });
    return true;
  }

  /**
   * Removes the news of a daemon that restarted or is no longer a member.
   *
   * @param daemonId - the daemon's name.
   */
  delete(daemonId: string): void {
    this.news.delete(daemonId);
    this.remoteRevisions.delete(daemonId);
  }

  /**
   * @param now - monotonic milliseconds.
   * @param limit - the largest number of news.
   * @param first - the daemon whose news are always included: the sender, which has the latest ones.
   * @returns The most recent news, with their present ages.
   */
  youngestNews(now: number, limit: number, first: string): MemberNews[] {
    const own = this.news.get(first);
    const others = [...this.news.values()].filter(({ news }) => news.daemonId !== first);
    const chosen = youngest(others, limit - 1);
    return (own ? [own, ...chosen] : chosen).map(({ news, measuredAt }) => ({
      ...news,
      ageMilliseconds: Math.round(now - measuredAt),
    }));
  }

  /**
   * @param now - monotonic milliseconds.
   * @param limit - the largest number of summaries.
   * @param except - the receiver's data centre, which has a more recent summary of itself.
   * @returns The most recent summaries, with their present ages.
   */
  youngestSummaries(now: number, limit: number, except: string): Summary[] {
    const others = [...this.summaries.values()].filter(({ news }) => news.dataCentre !== except);
    return youngest(others, limit).map(({ news, measuredAt }) => ({
      ...news,
      ageMilliseconds: Math.round(now - measuredAt),
    }));
  }

  /**
   * Builds the summary of this data centre.
   *
   * @param dataCentre - its name.
   * @param members - its daemons, this one included.
   * @returns The summary, or `undefined` while news of too many daemons are missing.
   */
  summarize(dataCentre: string, members: readonly MemberRecord[]): Summary | undefined {
    const knownNews = members
      .map(({ daemonId }) => this.news.get(daemonId)?.news)
      .filter((news) => news !== undefined);
    const [first] = knownNews;
    if (!first || knownNews.length < members.length * MINIMUM_SHARE) return undefined;
    const pools = new Map<string, PoolNews>();
    let lowest = first;
    let lowestRunnersRevision = first.runnersRevision;
    for (const news of knownNews) {
      for (const pool of news.pools) addPool(pools, pool);
      if (news.configurationRevision < lowest.configurationRevision) lowest = news;
      lowestRunnersRevision = Math.min(lowestRunnersRevision, news.runnersRevision);
    }
    return {
      dataCentre,
      ageMilliseconds: 0,
      daemons: knownNews.length,
      lowestConfigurationRevision: lowest.configurationRevision,
      lowestConfigurationDaemon: lowest.daemonId,
      lowestRunnersRevision,
      pools: [...pools.values()],
    };
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns The ages of all news and of all summaries in ms, for metrics and measurements.
   */
  ages(now: number): { readonly news: number[]; readonly summaries: number[] } {
    const agesOf = (entries: Iterable<Dated<unknown>>) =>
      [...entries].map(({ measuredAt }) => now - measuredAt);
    return { news: agesOf(this.news.values()), summaries: agesOf(this.summaries.values()) };
  }
}

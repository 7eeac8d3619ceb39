/**
 * Compares a runner's observed state with the wanted one and chooses the order that brings it one step closer.
 * Orders are idempotent, because each describes a desired state: repeating one after a lost answer, or by
 * another holder, changes nothing.
 */
import type { UpstreamOrder, UpstreamState } from '../upstreams/Upstream.js';
import type { WantedState } from './poolTypes.js';

/** Result of comparing a runner's observed state with the wanted state. */
export type RunnerMatch =
  /** Has the wanted version and role. */
  | 'matches'
  /** Serves another version, more than one version, or in another role. */
  | 'differs'
  /** Has no version loaded and therefore serves no requests. */
  | 'empty'
  /** Serves another model, which no order can change. */
  | 'other_model';

/**
 * Compares the observed state of a runner with the wanted state.
 *
 * @param wanted - the state that the configuration wants.
 * @param observed - the state that the runner reported.
 * @returns The result of the comparison.
 */
export function compareWithWanted(wanted: WantedState, observed: UpstreamState): RunnerMatch {
  if (wanted.model !== '' && observed.model !== wanted.model) return 'other_model';
  if (wanted.version !== '' && observed.versions.length === 0) return 'empty';
  const version = wanted.version === '' || observed.versions.includes(wanted.version);
  const surplus = wanted.version !== '' && observed.versions.length > 1;
  const role = wanted.role === '' || observed.role === wanted.role;
  return version && !surplus && role ? 'matches' : 'differs';
}

/**
 * Chooses the next order that loads or unloads an adapter. Engines carry these out while they serve.
 *
 * @param wanted - the state that the configuration wants.
 * @param observed - the state that the runner reported.
 * @returns The same as {@link nextOrder}.
 */
export function nextAdapterOrder(
  wanted: WantedState,
  observed: UpstreamState,
): UpstreamOrder | 'loading' | undefined {
  const { model, adapters } = wanted;
  if (observed.loading.length > 0) return 'loading';
  const missing = adapters.find((adapter) => !observed.adapters.includes(adapter));
  if (missing !== undefined) return { kind: 'load_adapter', model, adapter: missing };
  const surplus = observed.adapters.find((adapter) => !adapters.includes(adapter));
  if (surplus !== undefined) return { kind: 'unload_adapter', model, adapter: surplus };
  return undefined;
}

/**
 * Chooses the next order for a runner that serves no requests: first unloads other versions to free memory,
 * then loads the wanted version, then sets the role and the adapters.
 *
 * @param wanted - the state that the configuration wants.
 * @param observed - the state that the runner reported.
 * @returns The order; `loading` while the runner loads; `undefined` when nothing is left to do.
 */
export function nextOrder(
  wanted: WantedState,
  observed: UpstreamState,
): UpstreamOrder | 'loading' | undefined {
  const { model, version } = wanted;
  if (observed.loading.length > 0) return 'loading';
  // Accelerators seldom have memory for two versions. The runner is drained, so unloading costs no capacity.
  const surplus = observed.versions.find((loaded) => version !== '' && loaded !== version);
  if (surplus !== undefined) return { kind: 'unload_version', model, version: surplus };
  if (version !== '' && !observed.versions.includes(version)) {
    return { kind: 'load_version', model, version };
  }
  if (wanted.role !== '' && observed.role !== wanted.role) {
    return { kind: 'change_role', role: wanted.role };
  }
  return nextAdapterOrder(wanted, observed);
}

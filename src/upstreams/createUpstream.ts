/**
 * Creates the upstream for a runner according to the kind of its service.
 */
import type { RunnerRecord, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import { EngineUpstream } from './EngineUpstream.js';
import { PlainUpstream } from './PlainUpstream.js';
import type { Upstream } from './Upstream.js';
import { upstreamsFeature } from './upstreamsFeature.js';
import type { UpstreamsSettings } from './upstreamsFeature.js';

/** Options of {@link createUpstream}. */
export interface CreateUpstreamOptions {
  runner: Pick<RunnerRecord, 'address'>;
  service: Pick<Service, 'kind'>;
  settings?: UpstreamsSettings;
}

/**
 * Creates the upstream of a runner.
 *
 * @param options - the runner, its service and the settings.
 * @returns An upstream without open connections.
 * @throws VError if the address of the runner is not an IP address with a port.
 */
export function createUpstream({
  runner,
  service,
  settings = upstreamsFeature.settings.parse({}),
}: CreateUpstreamOptions): Upstream {
  const connection = {
    address: runner.address,
    maximumSockets: settings.maximumSocketsPerRunner,
    connectTimeoutMilliseconds: settings.connectTimeoutMilliseconds,
    idleMilliseconds: settings.idleMilliseconds,
    maximumAnswerBytes: settings.maximumAnswerBytes,
    callTimeoutMilliseconds: settings.callTimeoutMilliseconds,
  };
  if (service.kind === 'plain') {
    const { attemptIdEcho, healthPath } = settings;
    return new PlainUpstream({ ...connection, attemptIdEcho, healthPath });
  }
  const { maximumEventBytes, cacheTimeoutMilliseconds, maximumCacheBytes } = settings;
  return new EngineUpstream({
    ...connection,
    maximumEventBytes,
    cacheTimeoutMilliseconds,
    maximumCacheBytes,
  });
}

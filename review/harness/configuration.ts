/**
 * The configuration that the operator of the small deployment writes.
 */

export const HOST = 'site.example';

export const KEY = 'n2ctnfzs989anu6wsjnb';

const COMMON = { hostname: HOST, priority: 1, anonymous: false };

/** Routes of the deployment. */
export const ROUTES: readonly Record<string, unknown>[] = [
  {
    ...COMMON,
    name: 'chat',
    path_prefix: '/chat/',
    kind: 'streaming',
    service: 'engine',
    timeout_ms: 15_000,
    target_latency_ms: 600,
    gap_aim_ms: 800,
    max_attempts: 2,
    sticky: true,
    resumable: true,
  },
  {
    ...COMMON,
    name: 'reserve',
    path_prefix: '/reserve/',
    kind: 'non_idempotent',
    service: 'plain',
    timeout_ms: 10_000,
    target_latency_ms: 121,
    max_attempts: 1,
  },
  {
    ...COMMON,
    name: 'status',
    path_prefix: '/status/',
    kind: 'idempotent',
    service: 'plain',
    timeout_ms: 10_000,
    target_latency_ms: 121,
    max_attempts: 2,
  },
];

/**
 * @param version - its version.
 * @param routes - its routes.
 * @param limits - limits for clients that differ from the usual ones.
 * @returns The configuration as the store holds it.
 */
export function configuration(
  version: number,
  routes: readonly Record<string, unknown>[] = ROUTES,
  limits: Readonly<Record<string, number>> = {},
): object {
  return {
    version,
    routes,
    services: [
      { name: 'engine', max_connections: 370, health_path: '/healthz' },
      { name: 'plain', max_connections: 110, health_path: '/healthz' },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }],
  };
}

/** The manifest of the small deployment of cases 4 to 8, in the platform's format. */

export const HOST = 'app.example';
export const ENGINES = 'llm';
export const APPS = 'app';
export const KEY = 'key-of-callers';
export const ATTEMPTS = 3;
/** Time that a trainer allows a step, ms; the sheets name 12 s. */
export const STEP_MS = 12_000;

/** Creates a manifest with `routes` in addition to that of batches. */
export function createManifest(version, routes = [], options = {}) {
  const batch = {
    Name: 'rollouts',
    Host: HOST,
    PathPrefix: '/rollouts/',
    RouteKind: 'rollout',
    TimeoutMs: 10_000,
    SloMs: 400,
    Priority: 1,
    Service: ENGINES,
    Attempts: ATTEMPTS,
    RetentionS: 40,
    DueMs: 7500,
    SingleVersion: false,
    Sticky: true,
    Resumable: true,
  };
  return {
    Version: version,
    Routes: [batch, ...routes],
    Services: [
      {
        Name: ENGINES,
        HealthPath: '/healthz',
        MaxConns: 170,
        Engine: {
          Slots: 16,
          KvCapacity: 99_699,
          Stride: 4,
          Models: [{Name: 'm0'}],
        },
      },
      {Name: APPS, HealthPath: '/healthz', MaxConns: 100},
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 1_000_000,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    ...(options.hasTenants
      ? {Tenants: [{Name: 'tenant-a', ApiKeys: [KEY], Priority: 1}]}
      : {}),
  };
}

/** Creates a route to the plain service. */
export function createRoute(name, fields) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    RouteKind: 'idempotent',
    TimeoutMs: 2000,
    SloMs: 200,
    Priority: 2,
    Service: APPS,
    Attempts: 2,
    ...fields,
  };
}

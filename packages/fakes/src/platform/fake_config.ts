/** Name of the model that the fake model instances serve. */
export const FAKE_MODEL = "m0";

/** A model of the streaming service. */
export interface FakeModel {
  readonly name: string;
  /** Instances of a replica. */
  readonly size: number;
  /** Its share of the instances. */
  readonly share?: number;
}

const DEFAULT_MODELS: readonly FakeModel[] = [{ name: FAKE_MODEL, size: 2 }];
const DEFAULT_ATTEMPTS = 3;

/** Tenants, cold start and latency target of a fake configuration. */
export interface FakeConfigOptions {
  readonly version: number;
  readonly tenants: readonly {
    readonly name: string;
    readonly keys: readonly string[];
  }[];
  /** Cold start of all services: its duration, and the rate allowed while cold. */
  readonly cold?: {
    readonly startMs: number;
    readonly requestsPerSecond: number;
  };
  /** Target latency of all routes; tests vary it to tell versions apart. */
  readonly targetMs?: number;
  /** Timeout of the plain service's routes. */
  readonly plainTimeoutMs?: number;
  /** Limit on the bodies of callers' requests; by default the product's own. */
  readonly maxBodyBytes?: number;
  readonly models?: readonly FakeModel[];
  /** Requests that a replica of a model runs concurrently. */
  readonly slots?: number;
  /** Connections that an instance accepts; by default the product's own. */
  readonly maxConnections?: number;
  readonly streamTimeoutMs?: number;
  readonly streamAttempts?: number;
  readonly idleTimeoutMs?: number;
  /** Path prefixes of further safe routes of the plain service. */
  readonly furtherPaths?: readonly string[];
}

/** Request paths, by the retry semantics of their routes. */
export const fakePaths = {
  stream: "/drafts/x",
  once: "/desk/x",
  safe: "/look/x",
} as const;

/**
 * Creates a configuration with a resumable stream, a non-idempotent call and a
 * safe (retryable) call.
 */
export function createFakeConfig(options: FakeConfigOptions) {
  const { cold, targetMs = 400, plainTimeoutMs = 4_000 } = options;
  const { furtherPaths = [] } = options;
  const coldStart = cold === undefined ? {} : {
    cold_start_s: cold.startMs / 1000,
    cold_per_s: cold.requestsPerSecond,
  };
  const common = { host: "a.example", target_latency_ms: targetMs };
  return {
    version: options.version,
    routes: [
      {
        ...common,
        name: "drafts",
        path_prefix: "/drafts/",
        kind: "streaming",
        resumable: true,
        max_attempts: options.streamAttempts ?? DEFAULT_ATTEMPTS,
        timeout_ms: options.streamTimeoutMs ?? 8_000,
        service: "drafts",
      },
      {
        ...common,
        name: "desk",
        path_prefix: "/desk/",
        kind: "plain",
        max_attempts: 3,
        timeout_ms: plainTimeoutMs,
        service: "desk",
      },
      {
        ...common,
        name: "look",
        path_prefix: "/look/",
        kind: "safe",
        max_attempts: 3,
        timeout_ms: plainTimeoutMs,
        service: "desk",
      },
      ...furtherPaths.map((path) => ({
        ...common,
        name: path,
        path_prefix: path,
        kind: "safe",
        max_attempts: 3,
        timeout_ms: plainTimeoutMs,
        service: "desk",
      })),
    ],
    services: [
      {
        name: "drafts",
        ...coldStart,
        engine: {
          slots: options.slots ?? 8,
          loads_per_s: 50,
          loads_at_once: 8,
          models: (options.models ?? DEFAULT_MODELS).map((model) => ({
            ...model,
            load_s: 0.2,
            warm_s: 0.1,
          })),
        },
        ...(options.maxConnections === undefined
          ? {}
          : { max_connections: options.maxConnections }),
      },
      { name: "desk", ...coldStart },
    ],
    ...createLimits(options),
    tenants: options.tenants.map(({ name, keys }) => ({
      name,
      api_keys: keys,
    })),
  };
}

function createLimits({ maxBodyBytes, idleTimeoutMs }: FakeConfigOptions) {
  if (maxBodyBytes === undefined && idleTimeoutMs === undefined) return {};
  return {
    limits: {
      ...(maxBodyBytes === undefined ? {} : { max_body_bytes: maxBodyBytes }),
      ...(idleTimeoutMs === undefined
        ? {}
        : { idle_timeout_ms: idleTimeoutMs }),
    },
  };
}

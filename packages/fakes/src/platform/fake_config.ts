/** Name of the model that the fake model instances serve. */
export const FAKE_MODEL = "m0";

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
  const { furtherPaths = [], maxBodyBytes } = options;
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
        max_attempts: 3,
        timeout_ms: 8_000,
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
          slots: 8,
          loads_per_s: 50,
          loads_at_once: 8,
          models: [{ name: FAKE_MODEL, size: 2, load_s: 0.2, warm_s: 0.1 }],
        },
      },
      { name: "desk", ...coldStart },
    ],
    ...(maxBodyBytes === undefined
      ? {}
      : { limits: { max_body_bytes: maxBodyBytes } }),
    tenants: options.tenants.map(({ name, keys }) => ({
      name,
      api_keys: keys,
    })),
  };
}

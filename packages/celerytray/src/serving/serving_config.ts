/** Whether a call may be retried after it may have run, and how. */
export type RetryPolicy = "safe" | "once" | "resumable";

/** Where requests of a host and path go. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  readonly isStream: boolean;
  /** Maximum time until the response is complete. */
  readonly timeoutMs: number;
  /** Latency target of a response. */
  readonly targetMs: number;
  /** Silence after which callers leave a stream; undefined if not a stream. */
  readonly maxSilenceMs?: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of back ends on which one request may run. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Home regions, whose instances may serve the requests; undefined for all. */
  readonly homes?: readonly string[];
}

/** A service and its share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A model and the replicas that serve it. */
export interface ServedModel {
  readonly name: string;
  /** Instances of one replica. */
  readonly size: number;
  /** Initial share of the instances. */
  readonly instanceShare: number;
  /** Factor on all processing times of a replica. */
  readonly pace: number;
  /** Time to load weights from the weight store. */
  readonly loadMs: number;
  /** Time to load weights that are stored on the host. */
  readonly warmMs: number;
}

/** Performance characteristics of a service's model instances. */
export interface EngineSpec {
  readonly models: readonly ServedModel[];
  /** Requests that one replica runs concurrently. */
  readonly slots: number;
  /** Base time of a decoding step; 0 if unknown. */
  readonly stepMs: number;
  /** Time that each generating request adds to a step. */
  readonly stepPerRequestMs: number;
  /** Prompt tokens that a replica processes per second; 0 if unknown. */
  readonly promptTokensPerSecond: number;
  /** Mean number of prompt tokens; 0 if unknown. */
  readonly usualPromptTokens: number;
  /** Mean number of generated tokens; 0 if unknown. */
  readonly usualAnswerTokens: number;
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
}

/** Limits on the instances of a service after their start. */
export interface ColdStart {
  /** Time for which an instance stays cold. */
  readonly startMs: number;
  /** Requests per second that a cold instance can handle. */
  readonly requestsPerSecond: number;
}

/** A service behind the routes. */
export interface ServedService {
  readonly name: string;
  /** Maximum connections of one instance over all callers. */
  readonly maxConnections: number;
  /** Limits after a start; undefined if instances are never cold. */
  readonly cold?: ColdStart;
  /** Only for services of model replicas. */
  readonly engine?: EngineSpec;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An organisation and its keys. */
export interface ServingTenant {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority?: number;
  /** Home regions, whose instances may serve its requests; undefined for all. */
  readonly homes?: readonly string[];
}

/** The operator's configuration, decoded. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly services: ReadonlyMap<string, ServedService>;
  readonly limits: CallerLimits;
  /** Undefined if requests need no key. */
  readonly tenants?: readonly ServingTenant[];
}

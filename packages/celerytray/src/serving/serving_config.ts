/** Whether and how a call may run more than once. */
export type RetryPolicy = "safe" | "once" | "resumable";

/** Where requests of a host and path go. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  readonly isStream: boolean;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer is of full use. */
  readonly targetMs: number;
  /** Rank of the requests; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most back ends on which one request may run. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Regions whose instances may get the requests; undefined for all. */
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
  /** Share of the instances that it is meant to have at the start. */
  readonly instanceShare: number;
  /** Factor on all times of a replica. */
  readonly pace: number;
  /** Time to load weights from the weight store. */
  readonly loadMs: number;
  /** Time to load weights that lie on the host. */
  readonly warmMs: number;
}

/** How the model instances of a service work. */
export interface EngineSpec {
  readonly models: readonly ServedModel[];
  /** Requests that one replica runs at once. */
  readonly slots: number;
  /** Time of a token step, beside what each request adds; 0 where unknown. */
  readonly stepMs: number;
  /** Time that each request that is writing adds to a step. */
  readonly stepPerRequestMs: number;
  /** Prompt tokens that a replica reads a second; 0 where unknown. */
  readonly promptTokensPerSecond: number;
  /** Mean number of prompt tokens; 0 where unknown. */
  readonly usualPromptTokens: number;
  /** Mean number of tokens of an answer; 0 where unknown. */
  readonly usualAnswerTokens: number;
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
}

/** How instances of a service work after they were started. */
export interface ColdStart {
  /** Time for which an instance stays cold. */
  readonly startMs: number;
  /** Requests a second that a cold instance bears. */
  readonly requestsPerSecond: number;
}

/** A service behind the routes. */
export interface ServedService {
  readonly name: string;
  /** Connections that one instance takes from all callers. */
  readonly maxConnections: number;
  /** Bounds after a start; undefined where instances are never cold. */
  readonly cold?: ColdStart;
  /** Only for services of model replicas. */
  readonly engine?: EngineSpec;
}

/** Bounds on what callers send. */
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
  /** Goes before the route's rank. */
  readonly priority?: number;
  /** Regions whose instances may get its requests; undefined for all. */
  readonly homes?: readonly string[];
}

/** The operator's configuration, decoded. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly services: ReadonlyMap<string, ServedService>;
  readonly limits: CallerLimits;
  /** Undefined where requests need no key. */
  readonly tenants?: readonly ServingTenant[];
}

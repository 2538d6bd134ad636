import type { Either } from "purify-ts";
import type {
  CallerLimits,
  EngineSpec,
  RetryPolicy,
  RouteTarget,
  ServedService,
  ServingConfig,
  ServingRoute,
  ServingTenant,
} from "../serving/index.ts";
import {
  decode,
  FieldError,
  isObject,
  type JsonObject,
  parseObject,
  readBoolean,
  readNumber,
  readObjects,
  readString,
  readStrings,
} from "./json_fields.ts";

const DEFAULT_MAX_CONNECTIONS = 64;
const DEFAULT_MAX_ATTEMPTS = 1;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Decodes the operator's configuration; the left side describes the error. */
export function decodeConfig(text: string): Either<string, ServingConfig> {
  return parseObject(text).chain((document) =>
    decode(() => ({
      version: readNumber(document, "version"),
      routes: readObjects(document, "routes").map(decodeRoute),
      services: new Map(
        readObjects(document, "services").map(decodeService).map((service) =>
          [service.name, service] as const
        ),
      ),
      limits: decodeLimits(document.limits),
      ...(document.tenants === undefined ? {} : {
        tenants: readObjects(document, "tenants").map(decodeTenant),
      }),
    }))
  );
}

function decodeRoute(route: JsonObject): ServingRoute {
  const kind = readString(route, "kind");
  const timeoutMs = readNumber(route, "timeout_ms");
  const targetMs = readNumber(route, "target_latency_ms", timeoutMs);
  const isStream = kind === "streaming";
  return {
    name: readString(route, "name"),
    host: readString(route, "host").toLowerCase(),
    pathPrefix: readString(route, "path_prefix"),
    retryPolicy: decodeRetryPolicy(kind, readBoolean(route, "resumable")),
    isStream,
    timeoutMs,
    targetMs,
    ...(isStream
      ? {
        maxSilenceMs: maxSilenceMs(
          targetMs,
          readNumber(route, "target_gap_ms", 0),
        ),
      }
      : {}),
    priority: readNumber(route, "priority", 0),
    targets: decodeTargets(route),
    maxAttempts: readNumber(route, "max_attempts", DEFAULT_MAX_ATTEMPTS),
    isPublic: readBoolean(route, "public"),
    ...decodeHomeRegions(route),
  };
}

/** Silence after which a caller leaves a stream at the earliest. */
const MIN_CALLER_PATIENCE_MS = 2_000;
/** Callers wait for this multiple of the latency target. */
const PATIENCE_PER_TARGET = 4;
/** Callers wait for this multiple of the longest pause that is on time. */
const PATIENCE_PER_PAUSE = 8;

function maxSilenceMs(targetMs: number, targetPauseMs: number): number {
  return Math.max(
    MIN_CALLER_PATIENCE_MS,
    targetMs * PATIENCE_PER_TARGET,
    targetPauseMs * PATIENCE_PER_PAUSE,
  );
}

/** Routes of an unknown kind are never retried after a request may have run. */
function decodeRetryPolicy(
  kind: string,
  isResumable: boolean,
): RetryPolicy {
  if (kind === "safe") return "safe";
  return kind === "streaming" && isResumable ? "resumable" : "once";
}

function decodeTargets(route: JsonObject): readonly RouteTarget[] {
  const split = readObjects(route, "split");
  if (split.length === 0) {
    return [{ service: readString(route, "service"), weight: 1 }];
  }
  return split.map((part) => ({
    service: readString(part, "service"),
    weight: readNumber(part, "weight"),
  }));
}

function decodeService(service: JsonObject): ServedService {
  const { engine } = service;
  return {
    name: readString(service, "name"),
    maxConnections: readNumber(
      service,
      "max_connections",
      DEFAULT_MAX_CONNECTIONS,
    ),
    ...(isObject(engine) ? { engine: decodeEngine(engine) } : {}),
    ...decodeColdStart(service),
  };
}

function decodeEngine(engine: JsonObject): EngineSpec {
  return {
    slots: readNumber(engine, "slots"),
    stepMs: readNumber(engine, "step_ms", 0),
    stepPerRequestMs: readNumber(engine, "per_seq_ms", 0),
    promptTokensPerSecond: readNumber(engine, "read_per_s", 0),
    ...decodeMeanSizes(engine.usual),
    loadsPerSecond: readNumber(engine, "loads_per_s"),
    loadsAtOnce: readNumber(engine, "loads_at_once"),
    models: readObjects(engine, "models").map((model) => ({
      name: readString(model, "name"),
      size: readNumber(model, "size", 1),
      // The protocol calls this a share of the work. Instances divided in the
      // same ratio match the load.
      instanceShare: readNumber(model, "share", 1),
      pace: readNumber(model, "pace", 1),
      loadMs: readNumber(model, "load_s", 0) * 1000,
      warmMs: readNumber(model, "warm_s", 0) * 1000,
    })),
  };
}

/** Decodes the mean request sizes, in tokens. */
function decodeMeanSizes(
  means: unknown,
): Pick<EngineSpec, "usualPromptTokens" | "usualAnswerTokens"> {
  const sizes = isObject(means) ? means : {};
  return {
    usualPromptTokens: readNumber(sizes, "prompt", 0),
    usualAnswerTokens: readNumber(sizes, "answer", 0),
  };
}

function decodeColdStart(service: JsonObject): Pick<ServedService, "cold"> {
  const startMs = readNumber(service, "cold_start_s", 0) * 1000;
  const requestsPerSecond = readNumber(service, "cold_per_s", 0);
  return startMs > 0 && requestsPerSecond > 0
    ? { cold: { startMs, requestsPerSecond } }
    : {};
}

function decodeHomeRegions(
  object: JsonObject,
): { readonly homes?: readonly string[] } {
  return object.allowed_regions === undefined
    ? {}
    : { homes: readStrings(object, "allowed_regions") };
}

function decodeLimits(limits: unknown): CallerLimits {
  if (limits === undefined) return DEFAULT_LIMITS;
  if (!isObject(limits)) throw new FieldError("limits must be an object");
  return {
    maxHeaderBytes: readNumber(
      limits,
      "max_header_bytes",
      DEFAULT_LIMITS.maxHeaderBytes,
    ),
    maxBodyBytes: readNumber(
      limits,
      "max_body_bytes",
      DEFAULT_LIMITS.maxBodyBytes,
    ),
    headerTimeoutMs: readNumber(
      limits,
      "header_timeout_ms",
      DEFAULT_LIMITS.headerTimeoutMs,
    ),
    idleTimeoutMs: readNumber(
      limits,
      "idle_timeout_ms",
      DEFAULT_LIMITS.idleTimeoutMs,
    ),
  };
}

function decodeTenant(tenant: JsonObject): ServingTenant {
  return {
    name: readString(tenant, "name"),
    keys: readStrings(tenant, "api_keys"),
    ...(tenant.priority === undefined
      ? {}
      : { priority: readNumber(tenant, "priority") }),
    ...decodeHomeRegions(tenant),
  };
}

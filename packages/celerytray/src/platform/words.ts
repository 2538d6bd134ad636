/** Names of the platform's headers, in lower case as Node.js gives them. */
export const HEADER_NAMES = {
  callId: "attempt-id",
  deadline: "deadline-ms",
  apiKey: "x-api-key",
  tenant: "tenant",
  stamp: "server-stamp",
  notRun: "not-executed",
  expectedInstance: "expect-instance",
  leaving: "server-leaving",
  cold: "cold-ms",
  load: "replica-load",
  model: "model",
  tokenCount: "token-count",
  promptParts: "prompt-prefix",
  lastEventId: "last-event-id",
  priority: "request-priority",
  retryAfter: "retry-after",
  limit: "server-limit",
  /** This system's own: marks a request that another process relayed. */
  attemptsLeft: "celerytray-attempts-left",
  /** This system's own: marks what a gateway answers itself. */
  ownAnswer: "celerytray-own-answer",
} as const;

/** Header in which the store names its era, in lower case. */
export const ERA_HEADER = "store-era";

/** Whether any value of a flag header is 1. */
export function isFlagSet(values: string | readonly string[] | undefined) {
  return [values ?? []].flat().join().split(",")
    .some((value) => value.trim() === "1");
}

/** Names of the store's topics. */
export const TOPIC_NAMES = {
  config: "keyed.op",
  instances: "keyed.servers",
  fleet: "keyed.fleet",
} as const;

/** Key of the configuration in its topic. */
export const CONFIG_KEY = "config";

/** Prefix of the keys of evacuated zones. */
export const EVACUATION_PREFIX = "evacuate/";

/** Prefix of the keys by which the operator releases parts from quarantine. */
export const RELEASE_PREFIX = "quarantine-release/";

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = "CELERYTRAY_BOOT";

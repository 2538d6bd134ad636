/** Names of the platform's headers, in lower case as Node tells them. */
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
  resumeAfter: "last-event-id",
  priority: "request-priority",
  retryAfter: "retry-after",
} as const;

/** Whether a header that is a flag is raised by any of its values. */
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

/** Key of the newest configuration. */
export const CONFIG_KEY = "config";

/** Begins the keys of zones to which nothing more is to be sent. */
export const EVACUATION_PREFIX = "evacuate/";

/** Variable with the path of the settings file. */
export const SETTINGS_VARIABLE = "CELERYTRAY_BOOT";

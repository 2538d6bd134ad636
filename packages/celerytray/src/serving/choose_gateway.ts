import {
  type AttemptProgress,
  type AttemptsOptions,
  maxReplicas,
} from "./attempt_progress.ts";
import type { Gateway } from "./relay/index.ts";

/** Gateways that a request is sent to at most, if no stream has begun. */
const MAX_GATEWAYS = 3;
/** Time after which a stream that has begun is sent to a gateway again. */
const ASK_AGAIN_AFTER_MS = 500;

/**
 * Chooses a process that serves the request in place of this one; undefined if
 * this process's own links are to serve it.
 */
export function chooseGateway(
  { call, exchange, dependencies }: AttemptsOptions,
  { gatewaySentAtMs, runs }: AttemptProgress,
  nowMs: number,
): Gateway | undefined {
  const { hasStarted } = exchange;
  const sent = [...gatewaySentAtMs];
  const mayRelay = hasStarted
    ? runs.count < maxReplicas(call)
    : sent.length < MAX_GATEWAYS;
  if (call.isRelayed || !mayRelay) return undefined;
  const tried = sent.filter(([, atMs]) =>
    !hasStarted || nowMs - atMs < ASK_AGAIN_AFTER_MS
  );
  const triedIds = new Set(tried.map(([nodeId]) => nodeId));
  return dependencies.gateways.choose(call, { triedIds, nowMs });
}

/** Whether the links are lost and a gateway can serve the request now. */
export function mustRelay(
  options: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): boolean {
  const { call, dependencies } = options;
  return dependencies.links.isLost(call.service) &&
    chooseGateway(options, progress, nowMs) !== undefined;
}

import {
  type AttemptProgress,
  type AttemptsOptions,
  maxReplicas,
} from "./attempt_progress.ts";
import { ASK_AGAIN_AFTER_MS, mustComplete } from "./begun_stream.ts";
import type { Gateway } from "./relay/index.ts";

/** Gateways that a request is sent to at most, if no stream has begun. */
const MAX_GATEWAYS = 3;

/**
 * Chooses a process that serves the request in place of this one; undefined if
 * this process's own links are to serve it.
 */
export function chooseGateway(
  options: AttemptsOptions,
  { gatewaySentAtMs, refusals, runs }: AttemptProgress,
  nowMs: number,
): Gateway | undefined {
  const { call, dependencies } = options;
  const hasBegun = mustComplete(options);
  const sent = [...gatewaySentAtMs];
  const mayRelay = hasBegun
    ? runs.count < maxReplicas(call) && !refusals.mustPause(nowMs)
    : sent.length < MAX_GATEWAYS;
  if (call.isRelayed || !mayRelay) return undefined;
  const tried = sent.filter(([, atMs]) =>
    !hasBegun || nowMs - atMs < ASK_AGAIN_AFTER_MS
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

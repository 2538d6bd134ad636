import {
  type AttemptProgress,
  type AttemptsOptions,
  maxReplicas,
} from "./attempt_progress.ts";
import { ASK_AGAIN_AFTER_MS, mustComplete } from "./begun_stream.ts";
import type { ServingTarget, TargetChoice } from "./choose_target.ts";
import { nameReplica } from "./replica_runs.ts";
import { promptReadMs } from "./prompt_backlog.ts";

/** Collects what the choice of a call's next target depends on. */
export function createChoice(
  options: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): TargetChoice {
  const { call, dependencies } = options;
  const { stalls, paces, backoffs, prompts, suspectLoad, limits } =
    dependencies;
  const { model } = call.headers;
  const engine = dependencies.index()?.config.services.get(call.service)
    ?.engine;
  const targets = dependencies.listTargets(call.service, model, call.homes);
  return {
    targets,
    loads: dependencies.loads,
    zone: dependencies.zone,
    hasConnection: dependencies.hasConnection,
    readDelayMs: ({ instanceId }) =>
      promptReadMs(prompts.tokensAt(instanceId), engine, model),
    targetMs: call.route.targetMs,
    isBackingOff: (id) => backoffs.isBackingOff(id, nowMs),
    maySend: (target) =>
      dependencies.coldLimiter.maySend(target, nowMs) &&
      limits.findWaitMs(target, nowMs) === 0,
    isSilent: (id) =>
      stalls.isSilent(id, nowMs) || dependencies.isReportedSilent(id),
    isSlow: (target) => paces.isSlow(target, nowMs),
    hasSuspect: (id) => suspectLoad.has(id),
    isTried: (target) =>
      !mayAttemptAt(options, progress, { target, targets, nowMs }),
    nowMs,
    random: dependencies.random,
  };
}

/**
 * Whether a request may be sent to a target: to one that it was not sent to
 * before; a begun stream also, after a while, back to one that it has left, or
 * else to one that did not take it.
 */
function mayAttemptAt(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { target, targets, nowMs }: {
    readonly target: ServingTarget;
    readonly targets: readonly ServingTarget[];
    readonly nowMs: number;
  },
): boolean {
  const { tried, runs, notRunAtMs, refusals } = progress;
  const { instanceId } = target;
  const isNew = tried.get(instanceId) !== nameReplica(target);
  if (!mustComplete(options)) return isNew;
  if (refusals.mustPause(nowMs)) return false;
  const isAllowed = runs.countWith(target) <= maxReplicas(options.call);
  if (isNew || !isAllowed) return isAllowed;
  const refusedAtMs = notRunAtMs.get(instanceId);
  const mayReturn = (other: ServingTarget) =>
    mayReturnTo(other, progress, nowMs);
  if (refusedAtMs === undefined) return mayReturn(target);
  return nowMs - refusedAtMs >= ASK_AGAIN_AFTER_MS &&
    !targets.some(mayReturn);
}

/** Whether a begun stream may go back to a replica that it has left. */
function mayReturnTo(
  target: ServingTarget,
  { runs, notRunAtMs }: AttemptProgress,
  nowMs: number,
): boolean {
  const leftAtMs = runs.leftAtMs(target);
  const hasRefused = notRunAtMs.has(target.instanceId);
  return leftAtMs !== undefined && !hasRefused &&
    nowMs - leftAtMs >= ASK_AGAIN_AFTER_MS;
}

import {
  type AttemptProgress,
  type AttemptsOptions,
  maxReplicas,
} from "./attempt_progress.ts";
import type { ServingTarget, TargetChoice } from "./choose_target.ts";
import { promptReadMs } from "./prompt_backlog.ts";

/** Time after which a stream that has begun asks a replica again. */
const ASK_AGAIN_AFTER_MS = 500;

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
  return {
    targets: dependencies.listTargets(
      call.service,
      model,
      call.homes,
    ),
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
    isTried: (target) => !mayAttemptAt(options, progress, { target, nowMs }),
    nowMs,
    random: dependencies.random,
  };
}

/**
 * Whether a request may be sent to a target: to one that it was not sent to
 * before; a stream that has begun also, after a while, to one that did not take it
 * or that it has left.
 */
function mayAttemptAt(
  { call, exchange }: AttemptsOptions,
  { tried, runs, notRunAtMs }: AttemptProgress,
  { target, nowMs }: {
    readonly target: ServingTarget;
    readonly nowMs: number;
  },
): boolean {
  const { instanceId, epoch } = target;
  const isNew = tried.get(instanceId) !== epoch;
  if (!exchange.hasStarted) return isNew;
  const isAllowed = runs.countWith(instanceId) <= maxReplicas(call);
  if (isNew) return isAllowed;
  const notRunAt = isAllowed ? notRunAtMs.get(instanceId) : undefined;
  const askedAtMs = notRunAt ?? runs.leftAtMs(target);
  return askedAtMs !== undefined && nowMs - askedAtMs >= ASK_AGAIN_AFTER_MS;
}

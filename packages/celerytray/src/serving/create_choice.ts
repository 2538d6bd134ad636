import type { AttemptProgress, AttemptsOptions } from "./attempt_progress.ts";
import type { TargetChoice } from "./choose_target.ts";
import { promptReadMs } from "./prompt_backlog.ts";

/** Collects what the choice of a call's next target depends on. */
export function createChoice(
  { call, dependencies }: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): TargetChoice {
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
    isSilent: (id) => stalls.isSilent(id, nowMs),
    isSlow: (target) => paces.isSlow(target, nowMs),
    hasSuspect: (id) => suspectLoad.has(id),
    isTried: ({ instanceId, epoch }) =>
      progress.tried.get(instanceId) === epoch,
    nowMs,
    random: dependencies.random,
  };
}

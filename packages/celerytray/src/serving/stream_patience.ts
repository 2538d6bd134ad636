import type { AttemptProgress, AttemptsOptions } from "./attempt_progress.ts";

/**
 * Returns the time at which the caller of a stream that has begun leaves unless
 * it gets another event; undefined if none has begun.
 */
export function findLeavingTime(
  { call, exchange }: AttemptsOptions,
  { lastEventAtMs }: Pick<AttemptProgress, "lastEventAtMs">,
  /** Time from which the event is awaited, if the last one is not known. */
  sinceMs: number,
): number | undefined {
  const { route: { maxSilenceMs }, deadlineAtMs } = call;
  if (!exchange.hasStarted || maxSilenceMs === undefined) return undefined;
  return Math.min(deadlineAtMs, (lastEventAtMs ?? sinceMs) + maxSilenceMs);
}

import type { AttemptsOptions } from "./attempt_progress.ts";

/**
 * Returns the time until which a stream that has begun waits to go on; undefined
 * if none has begun. That its caller might leave before is no reason to end it:
 * one that has left is known by its connection.
 */
export function findWaitingEnd(
  { call, exchange }: Pick<AttemptsOptions, "call" | "exchange">,
): number | undefined {
  return exchange.hasStarted ? call.deadlineAtMs : undefined;
}

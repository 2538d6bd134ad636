import type { FakeArrival } from "@celerytray/fakes";
import { bounds } from "./bounds.ts";
import type { SoakHistory } from "./history.ts";

/**
 * No request reaches an instance that drains or has removed its entry, from the
 * bound after the store has that anew, but from processes that were touched.
 */
export function findDrainedArrivals(history: SoakHistory): readonly string[] {
  return history.drainedPeriods.flatMap(({ name, fromMs, toMs }) =>
    history.arrivals.filter((arrival) =>
      arrival.instanceId === name && !arrival.isMisdirected &&
      arrival.atMs > fromMs + history.runnerLagMs && arrival.atMs < toMs &&
      isOfCalmProcess(history, arrival)
    ).map(({ callId, atMs }) =>
      `${callId} reached ${name} ${
        Math.round(atMs - fromMs)
      } ms after requests to it had to stop`
    )
  );
}

/** Whether neither the process that sent it nor a link of both was touched. */
function isOfCalmProcess(
  { calls, injectedFaults }: SoakHistory,
  { callId, instanceId, atMs }: FakeArrival,
): boolean {
  const process = calls.find((call) => call.callId === callId)?.process;
  return !injectedFaults.some(({ target, fault, fromMs, toMs }) =>
    fromMs <= atMs && toMs + bounds.stableWindowMs >= atMs &&
    ((target.kind === "store" && fault !== "return") ||
      (target.kind !== "store" && target.name === process) ||
      (target.kind === "instance" && target.name === instanceId))
  );
}

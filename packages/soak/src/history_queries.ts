import type { FakeArrival } from "@celerytray/fakes";
import type { CallRecord, SoakHistory } from "./history.ts";

/** Executions of requests, by call. */
export function listRuns({ arrivals }: SoakHistory) {
  const runs = new Map<string, FakeArrival[]>();
  for (const arrival of arrivals) {
    if (!arrival.hasRun) continue;
    const known = runs.get(arrival.callId);
    if (known === undefined) runs.set(arrival.callId, [arrival]);
    else known.push(arrival);
  }
  return runs;
}

/** Names a call in a message. */
export function describeCall({ callId, kind, process }: CallRecord): string {
  return `${kind} ${callId} at ${process}`;
}

import type { FakeArrival } from "@celerytray/fakes";
import { bounds } from "./bounds.ts";
import { isJustCut } from "./cut_checks.ts";
import type { CallRecord, InjectedFault, SoakHistory } from "./history.ts";
import { describeCall, listRuns } from "./history_queries.ts";

/** A stream that ends so soon before its deadline ends at it. */
const DEADLINE_MARGIN_MS = 100;
/** Longer than it takes a process to see the end of an instance or a link. */
const RECENT_MS = 100;

/** An accepted request is answered, unless the process or its link failed. */
export function findLosses(history: SoakHistory): readonly string[] {
  // The bound on repeats may keep a stream that its instance broke off from
  // being resumed.
  const brokenOff = new Set(
    history.joinedAnswers.filter(({ fault }) => fault === "no-chunk-size")
      .map(({ callId }) => callId),
  );
  return history.calls.filter((call) => {
    const { answer } = call;
    if (answer === undefined || answer.isWhole || call.wasRefused === true) {
      return false;
    }
    const isBrokenOff = answer.status !== 0;
    if (isBrokenOff && brokenOff.has(call.callId)) return false;
    if (isBrokenOff && isJustCut(history, call)) return false;
    if (isBrokenOff && hasMetDeadline(call) && isFull(history, call)) {
      return false;
    }
    return !history.injectedFaults.some((injected) =>
      overlaps(injected, call) &&
      (isOfProcess(injected, call) ||
        (isBrokenOff && injected.target.kind === "instance"))
    );
  }).map((call) => `${describeCall(call)} was lost: ${JSON.stringify(call)}`);
}

/**
 * A stream that has begun is not cut before its deadline while the replica that
 * it ran at last is sound, even if other instances are faulty. Silences, orders
 * and full queues leave a replica sound.
 */
export function findCutStreams(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  return history.calls.filter((call) => {
    const { kind, answer } = call;
    if (kind !== "stream" || answer?.status !== 200 || answer.isWhole) {
      return false;
    }
    if (hasMetDeadline(call) || isJustCut(history, call)) return false;
    const isOfCaller = history.injectedFaults.some((injected) =>
      overlaps(injected, call) && isOfProcess(injected, call)
    );
    const run = runs.get(call.callId)?.at(-1);
    return !isOfCaller && run !== undefined && isSound(history, { call, run });
  }).map((call) => {
    const runCount = runs.get(call.callId)!.length;
    const { members } = runs.get(call.callId)!.at(-1)!;
    return `${describeCall(call)} was cut ${
      Math.round(call.endedAtMs! - call.sentAtMs)
    } ms after it was sent, in run ${runCount}, at ${members?.join(" and ")}`;
  });
}

function hasMetDeadline({ sentAtMs, endedAtMs }: CallRecord): boolean {
  return endedAtMs! - sentAtMs >= bounds.callDeadlineMs - DEADLINE_MARGIN_MS;
}

/** Whether heads were full, so that the stream may have waited for a place. */
function isFull({ fullPeriods }: SoakHistory, call: CallRecord): boolean {
  return fullPeriods.some((period) => overlaps(period, call));
}

/** Whether no member ended, broke the stream off or lost its link. */
function isSound(
  history: SoakHistory,
  { call, run }: { readonly call: CallRecord; readonly run: FakeArrival },
): boolean {
  const members = run.members ?? [run.instanceId];
  const fromMs = run.atMs - RECENT_MS;
  const toMs = call.endedAtMs!;
  const hasEnded = history.instanceEnds.some(({ instanceId, atMs }) =>
    members.includes(instanceId) && atMs >= fromMs && atMs <= toMs
  );
  const isBrokenOff = history.joinedAnswers.some(({ callId, fault }) =>
    callId === call.callId && fault === "no-chunk-size"
  );
  return !hasEnded && !isBrokenOff &&
    !history.injectedFaults.some((injected) =>
      injected.target.kind === "instance" && injected.fault !== "delay" &&
      injected.fromMs <= toMs && injected.toMs >= fromMs &&
      (injected.fault === "late" ||
        members.includes(injected.target.name ?? ""))
    );
}

/** Whether a fault affects a call's process or the link to its callers. */
function isOfProcess(
  { target, fault }: InjectedFault,
  { process }: CallRecord,
) {
  return (target.kind === "process" || target.kind === "callers") &&
    target.name === process && fault !== "terminate";
}

function overlaps(
  { fromMs, toMs }: Pick<InjectedFault, "fromMs" | "toMs">,
  { sentAtMs, endedAtMs }: CallRecord,
): boolean {
  return fromMs <= endedAtMs! && toMs >= sentAtMs;
}

import type { JoinedAnswer } from "@celerytray/fakes";
import { bounds } from "./bounds.ts";
import { isJustCut } from "./cut_checks.ts";
import type { CallRecord, InjectedFault, SoakHistory } from "./history.ts";
import { describeCall, listRuns } from "./history_queries.ts";

/** Time that a process may need to pass on an answer before the deadline. */
const DELIVERY_MS = 100;
/** Faults that keep a process from passing an answer on. */
const ENDING_FAULTS = ["kill", "reload-start"];

/**
 * A complete answer with something else behind it reaches its caller whole, and
 * the request does not run again.
 */
export function findDiscardedAnswers(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  const calls = new Map(history.calls.map((call) => [call.callId, call]));
  return history.joinedAnswers.flatMap((joined) => {
    const call = calls.get(joined.callId);
    if (call?.answer === undefined || joined.fault === "no-chunk-size") {
      return [];
    }
    const callRuns = runs.get(joined.callId) ?? [];
    const isRepeated = callRuns.some(({ atMs }) => atMs > joined.atMs);
    if (isDelivered(call) && !isRepeated) return [];
    const run = callRuns.findLast(({ instanceId, atMs }) =>
      instanceId === joined.instanceId && atMs <= joined.atMs
    );
    if (isExcused(history, { call, joined, runAtMs: run?.atMs ?? 0 })) {
      return [];
    }
    return [
      `${describeCall(call)} lost a complete answer with ${joined.fault}: ${
        JSON.stringify({ call, joined, callRuns })
      }`,
    ];
  });
}

function isDelivered({ answer, expected }: CallRecord): boolean {
  return answer?.status === 200 && answer.isWhole && answer.body === expected;
}

interface DiscardedAnswer {
  readonly call: CallRecord;
  readonly joined: JoinedAnswer;
  readonly runAtMs: number;
}

/** Whether the instance, the process or a link failed, or the deadline passed. */
function isExcused(history: SoakHistory, discarded: DiscardedAnswer): boolean {
  const { call, joined, runAtMs } = discarded;
  const endedAtMs = call.endedAtMs!;
  const hasEnded = history.instanceEnds.some(({ instanceId, atMs }) =>
    instanceId === joined.instanceId && atMs >= runAtMs && atMs <= endedAtMs
  );
  return hasEnded || isJustCut(history, call) ||
    hasPassedDeadline(history, discarded) ||
    history.injectedFaults.some((fault) =>
      fault.fromMs <= endedAtMs &&
      (isOfCaller(fault, call) && fault.toMs >= call.sentAtMs ||
        isOfInstance(fault, joined) && fault.toMs >= runAtMs)
    );
}

/** Whether a process could not pass the answer on before the deadline. */
function hasPassedDeadline(
  { injectedFaults, runnerLagMs }: SoakHistory,
  { call, joined }: DiscardedAnswer,
): boolean {
  const pauseEndsMs = injectedFaults.filter(({ target, fault, ...pause }) =>
    target.kind === "process" && target.name === call.process &&
    fault === "pause" && pause.fromMs <= joined.atMs
  ).map(({ toMs }) => toMs);
  const readAtMs = Math.max(joined.atMs, ...pauseEndsMs);
  return readAtMs + DELIVERY_MS + runnerLagMs >
    call.sentAtMs + bounds.callDeadlineMs;
}

function isOfCaller({ target, fault }: InjectedFault, { process }: CallRecord) {
  return target.name === process &&
    (target.kind === "callers" ||
      (target.kind === "process" && ENDING_FAULTS.includes(fault)));
}

/** Whether a fault affects an instance's link, or stalls all instances. */
function isOfInstance(
  { target, fault }: InjectedFault,
  { instanceId }: JoinedAnswer,
) {
  return target.kind === "instance" &&
    (target.name === instanceId || fault === "late");
}

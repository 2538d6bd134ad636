import { bounds } from "./bounds.ts";
import type {
  CallRecord,
  CutInterval,
  InjectedFault,
  SoakHistory,
} from "./history.ts";
import { soakKeys } from "./soak_cluster.ts";

/** Calls of each kind of process without which a cut isn't judged. */
const MIN_CALLS = 15;
const MIN_SHARE_OF_OTHERS = 2 / 3;
/** A call that is answered after the end of a cut counts within this time. */
const MAX_ANSWER_MS = 1_000;
const PROCESS_FAULTS = ["process", "store-link", "callers"];

/** First tries during a cut, and those that were served. */
interface CutCount {
  readonly cut: CutInterval;
  readonly atCut: ServedCalls;
  readonly atOthers: ServedCalls;
}

interface ServedCalls {
  readonly count: number;
  readonly served: number;
}

/**
 * Processes that lose their links to all instances serve nearly as much as the
 * others, from some time after the cut began.
 */
export function findUnservedCuts(history: SoakHistory): readonly string[] {
  return countJudgedCuts(history).filter(({ atCut, atOthers }) =>
    atCut.served / atCut.count <
      MIN_SHARE_OF_OTHERS * atOthers.served / atOthers.count
  ).map(describeCut);
}

/** Counts the calls of cuts that were long enough, without process faults. */
export function countJudgedCuts(history: SoakHistory): readonly CutCount[] {
  return history.cuts.filter((cut) => isJudged(history, cut)).flatMap((cut) => {
    const calls = history.calls.filter((call) => isFirstTry(call, cut));
    if (calls.some(({ endedAtMs }) => endedAtMs === undefined)) return [];
    const [atCut, atOthers] = [true, false].map((isCut) => {
      const some = calls.filter(({ process }) =>
        cut.processes.includes(process) === isCut
      );
      const served = some.filter((call) => isServedDuring(call, cut)).length;
      return { count: some.length, served };
    }) as [ServedCalls, ServedCalls];
    return [{ cut, atCut, atOthers }];
  }).filter(({ atCut, atOthers }) =>
    Math.min(atCut.count, atOthers.count) >= MIN_CALLS
  );
}

export function describeCut({ cut, atCut, atOthers }: CutCount): string {
  const names = cut.processes.join(" and ");
  return `${names}, cut (${cut.mode}) from ${Math.round(cut.fromMs)}, served ${
    describeServed(atCut)
  } first tries, others ${describeServed(atOthers)}`;
}

function describeServed({ count, served }: ServedCalls): string {
  return `${served} of ${count}`;
}

/** Whether a call's process had just lost its links, or lost some of its answer. */
export function isJustCut({ cuts }: SoakHistory, call: CallRecord): boolean {
  return cuts.some(({ processes, fromMs, toMs }) =>
    processes.includes(call.process) && fromMs <= call.endedAtMs! &&
    toMs >= call.sentAtMs && call.sentAtMs < fromMs + bounds.stableWindowMs
  );
}

/** Whether the cut has ended and no fault of a process touches it. */
function isJudged(
  { injectedFaults }: SoakHistory,
  { fromMs, toMs }: CutInterval,
): boolean {
  const touches = (fault: InjectedFault) =>
    PROCESS_FAULTS.includes(fault.target.kind) && fault.fromMs <= toMs &&
    fault.toMs >= fromMs;
  return Number.isFinite(toMs) && !injectedFaults.some(touches);
}

function isFirstTry(
  { key, deadlyPart, routePath, sentAtMs }: CallRecord,
  { fromMs, toMs }: CutInterval,
): boolean {
  return key === soakKeys.steady && deadlyPart === undefined &&
    routePath === undefined && sentAtMs >= fromMs + bounds.stableWindowMs &&
    sentAtMs < toMs;
}

/** Whether it was served by other means than the end of the cut. */
function isServedDuring(
  { answer, sentAtMs, endedAtMs }: CallRecord,
  { toMs }: CutInterval,
): boolean {
  return answer?.status === 200 && answer.isWhole &&
    endedAtMs! < Math.max(toMs, sentAtMs + MAX_ANSWER_MS);
}

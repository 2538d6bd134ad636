import { bounds } from "./bounds.ts";
import type { CallRecord, SoakHistory, StateInterval } from "./history.ts";
import { describeCall, listRuns } from "./history_queries.ts";

/** Statuses of requests whose route or key a process does not know. */
const UNKNOWN_STATUSES = [401, 403, 404];
/** Faults that end a process, so that its next run starts anew. */
const ENDING_FAULTS = ["terminate", "kill", "reload-start"];

/** A call to a route that was added. */
interface RouteCall {
  readonly call: CallRecord;
  readonly period: StateInterval;
}

/** An added route is served, and a dropped one is not, within the bound. */
export function findLateConfigs(history: SoakHistory): readonly string[] {
  const runs = listRuns(history);
  const boundMs = bounds.configApplyMs + history.runnerLagMs;
  return listRouteCalls(history).filter(({ call }) => isCalm(history, call))
    .flatMap(({ call, period }) => {
      const isRefused = isUnknown(call) &&
        call.sentAtMs > period.fromMs + boundMs &&
        call.endedAtMs! < period.toMs;
      const hasRun = runs.has(call.callId) &&
        call.sentAtMs > period.toMs + boundMs;
      if (isRefused) {
        return [describe(call, "added", call.sentAtMs - period.fromMs)];
      }
      return hasRun
        ? [describe(call, "dropped", call.sentAtMs - period.toMs)]
        : [];
    });
}

/** A process that has served an added route knows it in the same run. */
export function findOldConfigs(history: SoakHistory): readonly string[] {
  const calls = listRouteCalls(history);
  const runs = listRuns(history);
  const slackMs = bounds.rollbackSlackMs + history.runnerLagMs;
  return calls.filter(({ call, period }) =>
    isUnknown(call) && call.endedAtMs! < period.toMs
  ).flatMap(({ call, period }) => {
    const earlier = calls.find((other) =>
      other.period === period && other.call.process === call.process &&
      runs.has(other.call.callId) &&
      other.call.sentAtMs > period.fromMs &&
      other.call.endedAtMs! + slackMs < call.sentAtMs &&
      !wasRestarted(history, {
        process: call.process,
        fromMs: other.call.sentAtMs,
        toMs: call.endedAtMs!,
      })
    );
    return earlier === undefined
      ? []
      : [`${describeCall(call)}: ${call.routePath} is unknown again`];
  });
}

function listRouteCalls(history: SoakHistory): readonly RouteCall[] {
  const periods = new Map(
    history.routePeriods.map((period) => [period.name, period]),
  );
  return history.calls.flatMap((call) => {
    const period = periods.get(call.routePath ?? "");
    return period === undefined || call.endedAtMs === undefined
      ? []
      : [{ call, period }];
  });
}

function isUnknown({ answer }: CallRecord): boolean {
  return UNKNOWN_STATUSES.includes(answer?.status ?? 0);
}

/** Whether no fault touched a call's process or the store for a time. */
function isCalm(
  { injectedFaults }: SoakHistory,
  { process, sentAtMs, endedAtMs }: CallRecord,
): boolean {
  return !injectedFaults.some(({ target, fromMs, toMs }) =>
    fromMs <= endedAtMs! && toMs + bounds.stableWindowMs >= sentAtMs &&
    (target.kind === "store" ||
      (target.kind !== "instance" && target.name === process))
  );
}

function wasRestarted(
  { injectedFaults }: SoakHistory,
  { process, fromMs, toMs }: {
    readonly process: string;
    readonly fromMs: number;
    readonly toMs: number;
  },
): boolean {
  return injectedFaults.some((injected) =>
    injected.target.name === process &&
    ENDING_FAULTS.includes(injected.fault) &&
    injected.fromMs <= toMs && injected.toMs >= fromMs
  );
}

function describe(call: CallRecord, what: string, lateMs: number): string {
  return `${describeCall(call)} ${call.routePath}, ${what} ${
    Math.round(lateMs)
  } ms before, got ${call.answer?.status}`;
}

import type {
  CutMode,
  FakeArrival,
  JoinedAnswer,
  PlatformAnswer,
} from "@celerytray/fakes";

/** A `once` request may not be retried; a `safe` one may. */
export type CallKind = "stream" | "once" | "safe";

/** A request as seen by its caller; all times are on the runner's clock. */
export interface CallRecord {
  readonly process: string;
  readonly kind: CallKind;
  readonly callId: string;
  readonly key: string;
  /** Part of its prompt that crashes model instances. */
  readonly deadlyPart?: string;
  /** Path prefix of its route, if that may be added or dropped. */
  readonly routePath?: string;
  readonly sentAtMs: number;
  /** Body of the complete answer. */
  readonly expected: string;
  endedAtMs?: number;
  answer?: PlatformAnswer;
  /** Whether the connection was refused, so that nothing was sent. */
  wasRefused?: boolean;
}

/** Interval in which a fault is injected. */
export interface InjectedFault extends Interval {
  readonly target: {
    readonly kind: "process" | "callers" | "store-link" | "instance" | "store";
    /** Absent for the store itself, or if all instances are affected. */
    readonly name?: string;
  };
  readonly fault: string;
}

/** Interval in which a zone, an instance or a key is in a state. */
export interface StateInterval extends Interval {
  readonly name: string;
}

/** Interval in which processes have lost their links to all instances. */
export interface CutInterval extends Interval {
  readonly processes: readonly string[];
  readonly mode: CutMode;
}

/** Interval in which an instance names a limit on its requests. */
export interface LimitInterval extends StateInterval {
  readonly perSecond: number;
}

/** The kill or the crash of an instance. */
export interface InstanceEnd {
  readonly atMs: number;
  readonly instanceId: string;
}

/** Exit of a process. */
export interface ProcessExit {
  readonly process: string;
  readonly description: string;
  /** Whether the soak requested this exit, and it is as requested. */
  readonly isExpected: boolean;
}

/** Restoration of service after a series of faults. */
export interface Restoration {
  readonly series: number;
  readonly faultsEndedAtMs: number;
  /** Absent if service was not restored within the bound. */
  readonly restoredAtMs?: number;
  /** Kinds of requests that were not served, by process. */
  readonly missing: readonly string[];
}

/** Observations of callers and instances, and the injected faults. */
export class SoakHistory {
  readonly calls: CallRecord[] = [];
  readonly arrivals: FakeArrival[] = [];
  /** Answers that instances wrote together with a fault. */
  readonly joinedAnswers: JoinedAnswer[] = [];
  readonly instanceEnds: InstanceEnd[] = [];
  readonly injectedFaults: InjectedFault[] = [];
  readonly cuts: CutInterval[] = [];
  readonly withdrawals: StateInterval[] = [];
  readonly leavePeriods: StateInterval[] = [];
  /** In which no request may reach an instance that leaves. */
  readonly drainedPeriods: StateInterval[] = [];
  readonly coldPeriods: StateInterval[] = [];
  readonly evacuations: StateInterval[] = [];
  /** In which heads have so few places that streams wait for long. */
  readonly fullPeriods: StateInterval[] = [];
  readonly limitPeriods: LimitInterval[] = [];
  /** From the addition of a route to its drop, by path prefix. */
  readonly routePeriods: StateInterval[] = [];
  readonly exits: ProcessExit[] = [];
  /** Resident memory of the processes. */
  readonly memorySamples: {
    readonly process: string;
    readonly rssMb: number;
  }[] = [];
  readonly restorations: Restoration[] = [];
  /** Longest event loop lag of the runner. */
  runnerLagMs = 0;
  /** Total time that the runner, and each instance in it, was stalled. */
  runnerStallMs = 0;

  /** Records the start of a fault; returns a function that records its end. */
  beginFault(target: InjectedFault["target"], fault: string): () => void {
    return beginInterval(this.injectedFaults, { target, fault });
  }

  /** Records the start of a cut; returns a function that records its end. */
  beginCut(processes: readonly string[], mode: CutMode): () => void {
    return beginInterval(this.cuts, { processes, mode });
  }

  /** Records the start of a limit; returns a function that records its end. */
  beginLimit(name: string, perSecond: number): () => void {
    return beginInterval(this.limitPeriods, { name, perSecond });
  }

  /** Records the start of a state; returns a function that records its end. */
  beginState(intervals: StateInterval[], name: string): () => void {
    return beginInterval(intervals, { name });
  }
}

function beginInterval<What extends object>(
  intervals: (What & Interval)[],
  what: What,
): () => void {
  const interval = {
    ...what,
    fromMs: performance.now(),
    toMs: Number.POSITIVE_INFINITY,
  };
  intervals.push(interval);
  return () => interval.toMs = performance.now();
}

interface Interval {
  readonly fromMs: number;
  toMs: number;
}

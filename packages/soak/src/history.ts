import type { FakeArrival, PlatformAnswer } from "@celerytray/fakes";

/** Kinds of requests, by what may be done with them. */
export type CallKind = "stream" | "once" | "safe";

/** A request as its caller knows it; all times are of the runner's clock. */
export interface CallNote {
  readonly process: string;
  readonly kind: CallKind;
  readonly callId: string;
  readonly key: string;
  readonly sentAtMs: number;
  /** The body of the whole answer. */
  readonly expected: string;
  endedAtMs?: number;
  answer?: PlatformAnswer;
  /** Whether nothing took the connection, so that nothing was sent. */
  wasRefused?: boolean;
}

/** A time in which something was made faulty from outside. */
export interface Disturbance extends Span {
  readonly target: {
    readonly kind: "process" | "callers" | "store-link" | "instance" | "store";
    /** Absent for the store itself, and for all instances. */
    readonly name?: string;
  };
  readonly fault: string;
}

/** A time in which a zone, an instance or a key had a state. */
export interface StateSpan extends Span {
  readonly name: string;
}

/** The end of a process. */
export interface ProcessExit {
  readonly process: string;
  readonly how: string;
  /** Whether the soak ended it, in the way that it ended. */
  readonly isExpected: boolean;
}

/** How a series of faults ended. */
export interface Restoration {
  readonly series: number;
  readonly calmAtMs: number;
  /** Absent where service was not restored within the bound. */
  readonly restoredAtMs?: number;
  /** What was not served. */
  readonly missing: readonly string[];
}

/** What callers and instances saw, and what was done from outside. */
export class SoakHistory {
  readonly calls: CallNote[] = [];
  readonly arrivals: FakeArrival[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly withdrawals: StateSpan[] = [];
  readonly leaves: StateSpan[] = [];
  readonly colds: StateSpan[] = [];
  readonly evacuations: StateSpan[] = [];
  readonly exits: ProcessExit[] = [];
  /** Memory that processes hold. */
  readonly memory: { readonly process: string; readonly rssMb: number }[] = [];
  readonly restorations: Restoration[] = [];
  /** Longest time that the runner itself was late. */
  lagMs = 0;
  /** Time that the runner, and with it each instance, stood still in all. */
  standstillMs = 0;

  /** Begins a disturbance; returns what ends it. */
  disturb(target: Disturbance["target"], fault: string): () => void {
    return beginSpan(this.disturbances, { target, fault });
  }

  /** Begins a span of a state; returns what ends it. */
  begin(spans: StateSpan[], name: string): () => void {
    return beginSpan(spans, { name });
  }
}

function beginSpan<What extends object>(
  spans: (What & Span)[],
  what: What,
): () => void {
  const span = {
    ...what,
    fromMs: performance.now(),
    toMs: Number.POSITIVE_INFINITY,
  };
  spans.push(span);
  return () => span.toMs = performance.now();
}

interface Span {
  readonly fromMs: number;
  toMs: number;
}

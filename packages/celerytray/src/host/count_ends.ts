import type { MetricsPage } from "../journal/index.ts";
import type {
  AttemptEnd,
  CallRecord,
  ServingDependencies,
} from "../serving/index.ts";

/** Functions that count the ends of requests and attempts. */
export interface EndCounters
  extends Pick<ServingDependencies, "onAttemptEnded"> {
  /** Counts a request by its cause unless its caller got a whole answer. */
  readonly countCall: (call: Pick<CallRecord, "cause" | "hasBegun">) => void;
}

/** Creates the counters of requests and attempts without a whole answer. */
export function createEndCounters(metrics: MetricsPage): EndCounters {
  const calls = metrics.addCounter({
    name: "celerytray_unfinished_requests_total",
    help: "Requests without a whole answer, by cause and by what had begun",
    labelNames: ["cause", "begun"],
  });
  const attempts = metrics.addCounter({
    name: "celerytray_attempts_ended_total",
    help: "Attempts without a whole answer, by how they ended",
    labelNames: ["end"],
  });
  return {
    countCall: ({ cause, hasBegun = false }) => {
      if (cause === undefined) return;
      calls.inc({ cause, begun: hasBegun ? "stream" : "nothing" });
    },
    onAttemptEnded: (end: AttemptEnd) => attempts.inc({ end }),
  };
}

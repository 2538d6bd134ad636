import type { FakeStreamRun } from "@celerytray/fakes";
import { GRACE_MS } from "./entry_process.ts";
import { groupBy } from "./group_by.ts";
import type { Disturbance } from "./platform_messages.ts";
import { type CalledStream, DEADLINE_MS } from "./stream_caller.ts";

/** How a stream ended for its caller. */
export type StreamOutcome =
  | "whole"
  | "refused"
  /** Ended without a whole answer at its deadline. */
  | "late"
  /** Ended without a whole answer before its deadline. */
  | "cut"
  /** As `cut`, but its replica's instance had ended. */
  | "instance-ended"
  /** As `cut`, at the end of a planned stop that began before or soon after. */
  | "stopped"
  /** No answer: the connection wasn't accepted or crossed a close. */
  | "unanswered";

/** The line of an entry process's log with which a request ended. */
export interface EndLine {
  readonly timeMs: number;
  readonly callId: string;
  readonly outcome: string;
  readonly cause?: string;
  readonly reason?: string;
  readonly attempts: readonly string[];
  readonly [field: string]: unknown;
}

/** A stream with all that is known of its end. */
export interface JudgedStream extends CalledStream {
  readonly outcome: StreamOutcome;
  readonly runs: readonly FakeStreamRun[];
  readonly line: EndLine | undefined;
}

/** A caller's clock and this system's may differ a little in what is late. */
const LATE_MARGIN_MS = 150;
/** A request may cross a close; what ends later had been read. */
const CROSSED_MS = 200;
/** A stream sent this soon after SIGTERM may be ended late in the grace time. */
const SENT_AFTER_STOP_MS = 3_000;
const LATE_GRACE_MS = GRACE_MS * 5 / 6;

/** Judges streams by what their callers saw. */
export function judgeStreams(
  streams: readonly CalledStream[],
  { runs, logs }: {
    readonly runs: readonly FakeStreamRun[];
    readonly logs: readonly string[];
  },
): readonly JudgedStream[] {
  const runsOf = groupBy(runs, ({ callId }) => callId);
  const lines = readEndLines(logs);
  return streams.map((stream) => {
    const own = runsOf.get(stream.callId) ?? [];
    return {
      ...stream,
      outcome: judge(stream, own),
      runs: own,
      line: lines.get(stream.callId),
    };
  });
}

function judge(
  stream: CalledStream,
  runs: readonly FakeStreamRun[],
): StreamOutcome {
  const { answer, isWhole, durationMs } = stream;
  if (isWhole) return "whole";
  if (answer.status >= 400) return "refused";
  if (durationMs >= DEADLINE_MS - LATE_MARGIN_MS) return "late";
  if (answer.status === 0 && durationMs < CROSSED_MS) return "unanswered";
  if (runs.at(-1)?.end === "instance-ended") return "instance-ended";
  return isLateInStop(stream) ? "stopped" : "cut";
}

function isLateInStop({ entry, sentAtMs, durationMs }: CalledStream): boolean {
  return entry.stoppedAtMs.some((stoppedAtMs) =>
    sentAtMs <= stoppedAtMs + SENT_AFTER_STOP_MS &&
    sentAtMs + durationMs >= stoppedAtMs + LATE_GRACE_MS &&
    sentAtMs + durationMs <= stoppedAtMs + GRACE_MS
  );
}

function readEndLines(logs: readonly string[]): ReadonlyMap<string, EndLine> {
  const lines = logs.flatMap((log) => log.split("\n"))
    .filter((line) => line.includes('"call.ended"'))
    .map((line) => JSON.parse(line) as EndLine);
  return new Map(lines.map((line) => [line.callId, line]));
}

/** Describes a stream that was cut, in lines. */
export function describeCut(
  stream: JudgedStream,
  disturbances: readonly Disturbance[],
): string {
  const { callId, model, entry, runs, line } = stream;
  const endedAtMs = stream.sentAtMs + stream.durationMs;
  const events = stream.answer.body.split("\n\n").length - 1;
  const atMs = (timeMs: number) => timeMs - stream.sentAtMs;
  const near = disturbances.filter(({ atMs, durationMs, name }) =>
    atMs < endedAtMs && atMs + durationMs > stream.sentAtMs &&
    (name === entry.name ||
      runs.some(({ instanceId }) => name.includes(instanceId)))
  );
  return [
    `${callId} (${model}) at ${entry.name}: status ${stream.answer.status}, ${events} events, ended ${stream.durationMs} ms after it was sent, ${stream.sinceLastMs} ms after its last bytes`,
    ...runs.map((run) =>
      `run at ${run.instanceId} from ${atMs(run.startedAtMs)} to ${
        atMs(run.endedAtMs)
      } ms, event ${run.firstId}, ${run.eventCount} written, ${run.end}`
    ),
    ...near.map(({ what, name, atMs: beganAtMs, durationMs }) =>
      `${what} ${name} at ${atMs(beganAtMs)} ms for ${
        Math.round(durationMs)
      } ms`
    ),
    `log: ${JSON.stringify(line)}`,
  ].join("\n    ");
}

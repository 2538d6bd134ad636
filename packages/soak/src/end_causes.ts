/** Ids of the calls that a message of a check names. */
const CALL_ID = /\bcall-[0-9]+\b/g;

/** The parts of a log line that say how a request ended. */
interface LoggedEnd {
  readonly event?: string;
  readonly callId?: string;
  readonly outcome?: string;
  readonly cause?: string;
  readonly awaited?: string;
  readonly hasBegun?: boolean;
  readonly durationMs?: number;
  readonly attempts?: readonly string[];
}

/**
 * How the processes say that the calls ended which messages name: a line for
 * each end without a whole answer.
 */
export function describeEnds(
  messages: readonly string[],
  logs: ReadonlyMap<string, string>,
): readonly string[] {
  const ids = new Set(messages.flatMap((message) => message.match(CALL_ID)));
  return [...logs].flatMap(([process, log]) =>
    log.split("\n").map(readLine).filter((line) =>
      line.event === "call.ended" && line.cause !== undefined &&
      ids.has(line.callId ?? "")
    ).map((line) => describeEnd(process, line))
  );
}

function describeEnd(process: string, line: LoggedEnd): string {
  const { callId, outcome, cause, awaited, hasBegun, durationMs } = line;
  const waitedFor = awaited === undefined ? "" : `, awaited ${awaited}`;
  const begun = hasBegun === true ? "begun" : "not begun";
  return `${callId} at ${process}: ${outcome}, ${cause}${waitedFor}, ${begun}, ${
    Math.round(durationMs ?? 0)
  } ms, ${line.attempts?.join("; ") ?? "no attempts"}`;
}

/** A line that a process left unfinished as it was killed says nothing. */
function readLine(line: string): LoggedEnd {
  try {
    return JSON.parse(line);
  } catch {
    return {};
  }
}

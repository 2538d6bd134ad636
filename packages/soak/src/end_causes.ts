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

/** Counts the streams that ended in their middle, by cause; a line each. */
export function countBegunEnds(
  logs: ReadonlyMap<string, string>,
): readonly string[] {
  const counts = new Map<string, number>();
  for (const line of [...logs.values()].join("\n").split("\n").map(readLine)) {
    if (line.event !== "call.ended" || line.hasBegun !== true) continue;
    const cause = [line.cause, line.awaited].filter(Boolean).join(", awaited ");
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts].map(([cause, count]) =>
    `${count} streams ended in their middle: ${cause}`
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

import type { LogLine } from "./explain_call.ts";

/** A retired replica, and the time until another one replaced it. */
export interface Repair {
  readonly replica: string;
  readonly model: string;
  readonly reason: string;
  /** First event that shows the loss, in Unix milliseconds. */
  readonly noticedAtMs: number;
  /** Time until the replacement accepted its open order; undefined if none did. */
  readonly durationMs: number | undefined;
}

/** Time before the retirement of a replica in which events may show its loss. */
const LOSS_EVENT_WINDOW_MS = 2_500;
const LOSS_EVENTS: ReadonlySet<string> = new Set([
  "instance.probe-failed",
  "order.unanswered",
  "replica.slow",
  "replica.stalled",
]);

/** Lists the retired replicas, each with the replacement one formed for its model. */
export function listRepairs(lines: readonly LogLine[]): readonly Repair[] {
  const sorted = lines.toSorted((a, b) => a.timeMs - b.timeMs);
  const members = new Map(
    sorted.filter(({ event }) => event === "replica.formed")
      .map(({ replica, members }) => [replica, members as string[]]),
  );
  const usedReplacements = new Set<unknown>();
  const seen = new Set<unknown>();
  const repairs: Repair[] = [];
  for (const line of sorted) {
    if (line.event !== "replica.retiring" || seen.has(line.replica)) continue;
    seen.add(line.replica);
    const lossEvent = sorted.find((other) =>
      LOSS_EVENTS.has(other.event) && other.timeMs <= line.timeMs &&
      other.timeMs >= line.timeMs - LOSS_EVENT_WINDOW_MS &&
      mentionsMember(other, members.get(line.replica) ?? [])
    );
    const replacement = sorted.find((other) =>
      other.event === "replica.formed" && other.model === line.model &&
      other.timeMs > line.timeMs && !usedReplacements.has(other.replica)
    );
    if (replacement !== undefined) usedReplacements.add(replacement.replica);
    const opened = sorted.find((other) =>
      other.event === "order.answered" && other.order === "open" &&
      other.replica === replacement?.replica && replacement !== undefined &&
      (other.outcome === "begun" || other.outcome === "holds")
    );
    const noticedAtMs = lossEvent?.timeMs ?? line.timeMs;
    repairs.push({
      replica: String(line.replica),
      model: String(line.model),
      reason: String(line.reason),
      noticedAtMs,
      durationMs: opened === undefined
        ? undefined
        : opened.timeMs - noticedAtMs,
    });
  }
  return repairs;
}

function mentionsMember(line: LogLine, members: readonly string[]): boolean {
  return members.includes(String(line.instanceId)) ||
    members.includes(String(line.headId));
}

import type { LogLine } from "./explain_call.ts";

/** A replica that was taken apart, and when its model had one more again. */
export interface Repair {
  readonly replica: string;
  readonly model: string;
  readonly reason: string;
  /** First sign of the loss, in Unix milliseconds. */
  readonly noticedAtMs: number;
  /** Time until the replica that followed was told to open; undefined if none was. */
  readonly durationMs: number | undefined;
}

/** Time before a replica is taken apart in which signs of its loss count. */
const SIGN_WINDOW_MS = 2_500;
const SIGNS: ReadonlySet<string> = new Set([
  "instance.probe-failed",
  "order.unanswered",
  "replica.slow",
  "replica.stalled",
]);

/** Replicas that were taken apart, each with the next one of its model. */
export function listRepairs(lines: readonly LogLine[]): readonly Repair[] {
  const sorted = lines.toSorted((a, b) => a.timeMs - b.timeMs);
  const members = new Map(
    sorted.filter(({ event }) => event === "replica.formed")
      .map(({ replica, members }) => [replica, members as string[]]),
  );
  const taken = new Set<unknown>();
  const seen = new Set<unknown>();
  const repairs: Repair[] = [];
  for (const line of sorted) {
    if (line.event !== "replica.retiring" || seen.has(line.replica)) continue;
    seen.add(line.replica);
    const sign = sorted.find((other) =>
      SIGNS.has(other.event) && other.timeMs <= line.timeMs &&
      other.timeMs >= line.timeMs - SIGN_WINDOW_MS &&
      isAbout(other, members.get(line.replica) ?? [])
    );
    const next = sorted.find((other) =>
      other.event === "replica.formed" && other.model === line.model &&
      other.timeMs > line.timeMs && !taken.has(other.replica)
    );
    if (next !== undefined) taken.add(next.replica);
    const opened = sorted.find((other) =>
      other.event === "order.answered" && other.order === "open" &&
      other.replica === next?.replica && next !== undefined &&
      (other.outcome === "begun" || other.outcome === "holds")
    );
    const noticedAtMs = sign?.timeMs ?? line.timeMs;
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

function isAbout(line: LogLine, members: readonly string[]): boolean {
  return members.includes(String(line.instanceId)) ||
    members.includes(String(line.headId));
}

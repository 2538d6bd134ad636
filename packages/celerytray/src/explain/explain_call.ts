/** A line of the structured log. */
export type LogLine = Readonly<Record<string, unknown>> & {
  readonly timeMs: number;
  readonly event: string;
};

/** What the logs tell of a request. */
export interface CallExplanation {
  /** Lines of the request itself, in the order of time. */
  readonly calls: readonly LogLine[];
  /** Lines on what its attempts met, shortly before its end. */
  readonly causes: readonly LogLine[];
}

/** Time before a request's end in which its cause is looked for. */
const CAUSE_WINDOW_MS = 8_000;
/** Time after it, as another process may notice later. */
const LATE_NOTICE_MS = 1_500;
const BELIEF_EVENTS: ReadonlySet<string> = new Set([
  "config.malformed",
  "keys.doubted",
  "process.draining",
  "process.started",
  "store.lost",
  "store.regained",
  "zone.evacuated",
  "zone.restored",
]);

/** Reads the lines of logs; what is no such line is left out. */
export function parseLogLines(text: string): readonly LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    if (start < 0) return [];
    try {
      const parsed = JSON.parse(line.slice(start)) as Partial<LogLine>;
      const isLine = typeof parsed.timeMs === "number" &&
        typeof parsed.event === "string";
      return isLine ? [parsed as LogLine] : [];
    } catch {
      // Output of other programs may stand between the lines.
      return [];
    }
  });
}

/** Finds a request's lines, and those on the instances and stores it met. */
export function explainCall(
  lines: readonly LogLine[],
  callId: string,
): CallExplanation {
  const calls = lines.filter((line) => line.callId === callId)
    .toSorted((a, b) => a.timeMs - b.timeMs);
  const [first] = calls;
  const last = calls.at(-1);
  if (first === undefined || last === undefined) {
    return { calls, causes: [] };
  }
  const processes = new Set(calls.map(({ process }) => process));
  const met = new Set(calls.flatMap(listInstances));
  const ofReplicas = lines.filter((line) =>
    isAbout(line, met) && typeof line.replica === "string"
  );
  const replicas = new Set(ofReplicas.map(({ replica }) => replica));
  const instances = new Set([
    ...met,
    ...ofReplicas.flatMap(({ members }) => members as string[] ?? []),
  ]);
  const evacuations = new Set(
    listEvacuations(lines, first.timeMs).filter(({ process }) =>
      processes.has(process)
    ),
  );
  const causes = lines.filter((line) => {
    if (evacuations.has(line)) return true;
    const isNear = line.timeMs >= first.timeMs - CAUSE_WINDOW_MS &&
      line.timeMs <= last.timeMs + LATE_NOTICE_MS;
    if (!isNear || line.callId !== undefined) return false;
    const isBelief = BELIEF_EVENTS.has(line.event) &&
      processes.has(line.process);
    return isBelief || isAbout(line, instances) || replicas.has(line.replica);
  }).toSorted((a, b) => a.timeMs - b.timeMs);
  return { calls, causes };
}

/** The last start of each evacuation that is in force at a time. */
function listEvacuations(
  lines: readonly LogLine[],
  atMs: number,
): readonly LogLine[] {
  const lastLines = new Map<string, LogLine>();
  for (const line of lines.toSorted((a, b) => a.timeMs - b.timeMs)) {
    if (line.timeMs > atMs || !line.event.startsWith("zone.")) continue;
    if (line.zone === undefined) continue;
    lastLines.set(JSON.stringify([line.process, line.zone]), line);
  }
  return [...lastLines.values()].filter(({ event }) =>
    event === "zone.evacuated"
  );
}

/** Instances that a request's attempts went to. */
function listInstances({ attempts }: LogLine): readonly string[] {
  if (!Array.isArray(attempts)) return [];
  return attempts.map((attempt) => String(attempt).split(" ")[0]!);
}

function isAbout(line: LogLine, instances: ReadonlySet<string>): boolean {
  return instances.has(line.instanceId as string) ||
    instances.has(line.headId as string) ||
    (Array.isArray(line.members) &&
      line.members.some((member) => instances.has(member)));
}

/** A line of the structured log. */
export type LogLine = Readonly<Record<string, unknown>> & {
  readonly timeMs: number;
  readonly event: string;
};

/** The log lines that explain a request. */
export interface CallExplanation {
  /** Lines of the request itself, in order of time. */
  readonly calls: readonly LogLine[];
  /** Lines about its instances, replicas and processes around that time. */
  readonly causes: readonly LogLine[];
}

/** Time before a request's first line in which causes are searched. */
const CAUSE_WINDOW_MS = 8_000;
/** Time after its last line, as another process may detect a cause later. */
const LATE_DETECTION_MS = 1_500;
const PROCESS_STATE_EVENTS: ReadonlySet<string> = new Set([
  "config.malformed",
  "keys.doubted",
  "process.draining",
  "process.started",
  "store.lost",
  "store.regained",
  "zone.evacuated",
  "zone.restored",
]);

/** Parses log lines; other text is skipped. */
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
      // Logs may be interleaved with the output of other programs.
      return [];
    }
  });
}

/** Finds a request's lines and those about the instances and zones involved. */
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
  const promptParts = new Set(
    calls.flatMap(({ promptParts }) => promptParts as string[] ?? []),
  );
  const attemptedInstances = new Set(calls.flatMap(listAttemptedInstances));
  const replicaLines = lines.filter((line) =>
    mentionsInstance(line, attemptedInstances) &&
    typeof line.replica === "string"
  );
  const replicas = new Set(replicaLines.map(({ replica }) => replica));
  const instances = new Set([
    ...attemptedInstances,
    ...replicaLines.flatMap(({ members }) => members as string[] ?? []),
  ]);
  const evacuations = new Set(
    listActiveEvacuations(lines, first.timeMs).filter(({ process }) =>
      processes.has(process)
    ),
  );
  const causes = lines.filter((line) => {
    if (evacuations.has(line)) return true;
    if (decidesOnPart(line, promptParts)) return true;
    const isInWindow = line.timeMs >= first.timeMs - CAUSE_WINDOW_MS &&
      line.timeMs <= last.timeMs + LATE_DETECTION_MS;
    if (!isInWindow || line.callId !== undefined) return false;
    const isProcessState = PROCESS_STATE_EVENTS.has(line.event) &&
      processes.has(line.process);
    return isProcessState || mentionsInstance(line, instances) ||
      replicas.has(line.replica);
  }).toSorted((a, b) => a.timeMs - b.timeMs);
  return { calls, causes };
}

/** Lists the latest start of each evacuation that is in force at a time. */
function listActiveEvacuations(
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

/** Whether a line says why requests with a part of the prompt are refused. */
function decidesOnPart(line: LogLine, parts: ReadonlySet<string>): boolean {
  const isDecision = line.event === "quarantine.decided" ||
    line.event === "quarantine.ended";
  return isDecision && parts.has(line.part as string);
}

/** Lists the instances to which a request's attempts were sent. */
function listAttemptedInstances({ attempts }: LogLine): readonly string[] {
  if (!Array.isArray(attempts)) return [];
  return attempts.map((attempt) => String(attempt).split(" ")[0]!);
}

function mentionsInstance(
  line: LogLine,
  instances: ReadonlySet<string>,
): boolean {
  return instances.has(line.instanceId as string) ||
    instances.has(line.headId as string) ||
    (Array.isArray(line.members) &&
      line.members.some((member) => instances.has(member)));
}

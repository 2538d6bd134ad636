import { FakeLog, InProcessLog } from "@celerytray/fakes";
import { AppendRateLimiter, createLogWriter, type LogWriter } from "celerytray";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { build, type Histogram } from "hdr-histogram-js";

/** Writers that share the log's rate of appends. */
export interface SimulatedWriters {
  readonly writerCount: number;
  readonly appendsPerSecond: number;
  readonly callsPerSecond: number;
  readonly durationMs: number;
  /** One way to the log. */
  readonly delayMs: number;
}

const STEP_MS = 10;
const SETTLE_MS = 10_000;

/** Latency of appends in virtual time, each writer within its budget. */
export function simulateWriters(
  options: SimulatedWriters,
): Promise<Histogram> {
  const latencyMs = build({ numberOfSignificantValueDigits: 3 });
  const simulate = Effect.gen(function* () {
    const log = new InProcessLog({
      log: new FakeLog(),
      nextDelayMs: () => options.delayMs,
    });
    const writers: LogWriter[] = [];
    for (let index = 0; index < options.writerCount; index++) {
      const appendsPerSecond = options.appendsPerSecond / options.writerCount;
      const budget = new AppendRateLimiter({ appendsPerSecond });
      writers.push(
        yield* createLogWriter({
          log,
          stream: `claims-${index}`,
          rateLimiter: budget,
        }),
      );
    }
    let offered = 0;
    for (let atMs = 0; atMs < options.durationMs; atMs += STEP_MS) {
      const due = atMs * options.callsPerSecond / 1_000;
      for (; offered < due; offered++) {
        const writer = writers[offered % writers.length]!;
        yield* Effect.forkScoped(appendTimed(writer, { offered, latencyMs }));
      }
      yield* TestClock.adjust(STEP_MS);
    }
    yield* TestClock.adjust(SETTLE_MS);
  });
  return Effect.runPromise(
    simulate.pipe(
      Effect.scoped,
      Effect.provide(TestClock.layer()),
      Effect.as(latencyMs),
    ),
  );
}

interface TimedAppend {
  readonly offered: number;
  readonly latencyMs: Histogram;
}

function appendTimed(
  writer: LogWriter,
  { offered, latencyMs }: TimedAppend,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAtMs = yield* Clock.currentTimeMillis;
    yield* writer.append({
      kind: "claim",
      recordId: String(offered),
      organisation: "patan",
      service: "slotbook",
      key: String(offered),
      requestSha256: "",
      claimant: "simulated",
    });
    latencyMs.recordValue((yield* Clock.currentTimeMillis) - startedAtMs);
  }).pipe(Effect.ignore);
}

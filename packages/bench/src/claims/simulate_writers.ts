import { FakeLog, InProcessLog } from "@celerytray/fakes";
import { AppendRateLimiter, createLogWriter, type LogWriter } from "celerytray";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { build, type Histogram } from "hdr-histogram-js";

/** Options of simulated writers that share the log's append rate. */
export interface SimulateWritersOptions {
  readonly writerCount: number;
  readonly appendsPerSecond: number;
  readonly callsPerSecond: number;
  readonly durationMs: number;
  /** One-way delay to the log. */
  readonly delayMs: number;
}

const STEP_MS = 10;
const SETTLE_MS = 10_000;

/**
 * Measures the latency of appends in virtual time, with each writer limited to
 * an equal share of the append rate.
 */
export function simulateWriters(
  options: SimulateWritersOptions,
): Promise<Histogram> {
  const latencyMs = build({ numberOfSignificantValueDigits: 3 });
  const simulation = Effect.gen(function* () {
    const log = new InProcessLog({
      log: new FakeLog(),
      nextDelayMs: () => options.delayMs,
    });
    const writers: LogWriter[] = [];
    for (let index = 0; index < options.writerCount; index++) {
      const appendsPerSecond = options.appendsPerSecond / options.writerCount;
      const limiter = new AppendRateLimiter({ appendsPerSecond });
      writers.push(
        yield* createLogWriter({
          log,
          stream: `claims-${index}`,
          rateLimiter: limiter,
        }),
      );
    }
    let appendIndex = 0;
    for (let atMs = 0; atMs < options.durationMs; atMs += STEP_MS) {
      const dueCount = atMs * options.callsPerSecond / 1_000;
      for (; appendIndex < dueCount; appendIndex++) {
        const writer = writers[appendIndex % writers.length]!;
        yield* Effect.forkScoped(
          appendTimed(writer, { appendIndex, latencyMs }),
        );
      }
      yield* TestClock.adjust(STEP_MS);
    }
    yield* TestClock.adjust(SETTLE_MS);
  });
  return Effect.runPromise(
    simulation.pipe(
      Effect.scoped,
      Effect.provide(TestClock.layer()),
      Effect.as(latencyMs),
    ),
  );
}

interface TimedAppend {
  readonly appendIndex: number;
  readonly latencyMs: Histogram;
}

function appendTimed(
  writer: LogWriter,
  { appendIndex, latencyMs }: TimedAppend,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAtMs = yield* Clock.currentTimeMillis;
    yield* writer.append({
      kind: "claim",
      recordId: String(appendIndex),
      organisation: "patan",
      service: "slotbook",
      key: String(appendIndex),
      requestSha256: "",
      claimant: "simulated",
    });
    latencyMs.recordValue((yield* Clock.currentTimeMillis) - startedAtMs);
  }).pipe(Effect.ignore);
}

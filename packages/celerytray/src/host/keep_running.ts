import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";

/** Options of a loop that is restarted after errors. */
export interface LoopOptions {
  /** Description of the loop in log events. */
  readonly name: string;
  readonly record: RecordEvent;
}

/** Delay before a loop that ended is restarted. */
const RESTART_DELAY_MS = 250;

/** Restarts a loop whenever it ends; an unexpected error is logged. */
export function keepRunning(
  loop: Effect.Effect<unknown>,
  { name, record }: LoopOptions,
): Effect.Effect<never> {
  return loop.pipe(
    Effect.catchDefect((defect) =>
      Effect.sync(() => recordFault({ name, record }, defect))
    ),
    Effect.andThen(Effect.sleep(RESTART_DELAY_MS)),
    Effect.forever,
  );
}

/** Logs an unexpected error. */
export function recordFault(
  { name, record }: LoopOptions,
  defect: unknown,
): void {
  const message = defect instanceof Error
    ? defect.stack ?? defect.message
    : String(defect);
  record("process.fault", { part: name, message });
}

import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";

/** A loop that is to go on whatever happens in it. */
export interface LoopOptions {
  /** What the loop does, for its line in the log. */
  readonly name: string;
  readonly record: RecordEvent;
}

/** Pause before a loop that ended is begun again. */
const RESTART_DELAY_MS = 250;

/** Begins a loop again, with a line, where an unexpected error ended it. */
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

/** Writes a line on an unexpected error. */
export function recordFault(
  { name, record }: LoopOptions,
  defect: unknown,
): void {
  const message = defect instanceof Error
    ? defect.stack ?? defect.message
    : String(defect);
  record("process.fault", { part: name, message });
}

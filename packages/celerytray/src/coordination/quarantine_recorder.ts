import { Effect } from "effect";
import type { RecordFailure } from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { QuarantinedPart } from "../serving/index.ts";
import { createQuarantineKey, encodeQuarantine } from "./quarantine_record.ts";

/** Options of the recording of parts in quarantine. */
export interface QuarantineRecordingOptions {
  /** The parts that the store holds. */
  readonly recorded: readonly QuarantinedPart[];
  readonly quarantined: () => readonly QuarantinedPart[];
  /** Stores a record, or deletes one without a value. */
  readonly put: (
    key: string,
    value: Buffer | undefined,
  ) => Effect.Effect<void, RecordFailure>;
  readonly record: RecordEvent;
}

const CHECK_INTERVAL_MS = 250;
const RETRY_MS = 700;

/** Keeps the store's records of the parts in quarantine up to date. */
export function recordQuarantine(
  { recorded, quarantined, put, record }: QuarantineRecordingOptions,
): Effect.Effect<never> {
  const stored = new Map(recorded.map((entry) => [entry.part, entry]));
  const storeChanges = Effect.gen(function* () {
    const current = new Map(quarantined().map((entry) => [entry.part, entry]));
    for (const [part, entry] of current) {
      if (stored.get(part)?.releaseOffset === entry.releaseOffset) continue;
      yield* put(createQuarantineKey(part), encodeQuarantine(entry));
      stored.set(part, entry);
    }
    for (const part of stored.keys()) {
      if (current.has(part)) continue;
      yield* put(createQuarantineKey(part), undefined);
      stored.delete(part);
    }
  });
  return storeChanges.pipe(
    Effect.catch(({ message }) =>
      Effect.sync(() => record("quarantine.record-failed", { message })).pipe(
        Effect.andThen(Effect.sleep(RETRY_MS)),
      )
    ),
    Effect.andThen(Effect.sleep(CHECK_INTERVAL_MS)),
    Effect.forever,
  );
}

import type { LogRecord, SnapshotRecord } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import type { LogService, LogUnavailable } from "./log_service.ts";
import type { LogWriter } from "./log_writer.ts";
import type { StreamView } from "./stream_view_types.ts";

/** Stream that contains the snapshots of all other streams. */
export const SNAPSHOT_STREAM = "snapshots";

/** Converts a stream's state to JSON and back. */
export interface SnapshotCodec<State> {
  readonly encode: (state: State) => Record<string, unknown>;
  /** Returns undefined if the content is damaged or of another version. */
  readonly decode: (content: unknown) => State | undefined;
}

/** A stream's state as of an offset. */
export interface StreamSnapshot<State> {
  readonly state: State;
  /** Offset of the first record that is not part of the state. */
  readonly nextOffset: number;
}

/** The stream whose snapshot to read. */
export interface ReadSnapshotOptions<State> {
  readonly log: LogService;
  readonly stream: string;
  readonly codec: SnapshotCodec<State>;
}

/** Reads the decodable snapshot of a stream with the highest offset. */
export function readLatestSnapshot<State>(
  options: ReadSnapshotOptions<State>,
): Effect.Effect<StreamSnapshot<State> | undefined, LogUnavailable> {
  return Effect.gen(function* () {
    let latest: StreamSnapshot<State> | undefined;
    let fromOffset = 0;
    while (true) {
      const page = yield* readRetained(options.log, fromOffset);
      for (const { record } of page.entries) {
        latest = selectLater(latest, decode(record, options));
      }
      if (page.nextOffset <= fromOffset) return latest;
      fromOffset = page.nextOffset;
    }
  });
}

/** Options of a snapshot writer. */
export interface SnapshotWriterOptions<State> {
  readonly stream: string;
  readonly view: StreamView<State>;
  readonly codec: SnapshotCodec<State>;
  /** Writer of the snapshot stream. */
  readonly writer: LogWriter;
  /** Whether this process is the one that should write. */
  readonly isPreferred: () => boolean;
  /** Number of records after which a snapshot is due. */
  readonly maxRecordsBetween?: number;
  /** Age at which a new one is due, as retention also removes snapshots. */
  readonly maxAgeMs?: number;
  readonly intervalMs?: number;
}

const DEFAULT_MAX_RECORDS_BETWEEN = 500;
const DEFAULT_MAX_AGE_MS = 3_600_000;
const DEFAULT_INTERVAL_MS = 5_000;

/** Writes a snapshot whenever one is due, until the scope closes. */
export function runSnapshotWriter<State>(
  options: SnapshotWriterOptions<State>,
): Effect.Effect<void, never, Scope.Scope> {
  const maxRecordsBetween = options.maxRecordsBetween ??
    DEFAULT_MAX_RECORDS_BETWEEN;
  const maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
  const { view } = options;
  return Effect.gen(function* () {
    let writtenOffset = 0;
    let writtenAtMs = yield* Clock.currentTimeMillis;
    const write = Effect.gen(function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const nextOffset = view.nextOffset();
      const lastOffset = Math.max(writtenOffset, view.snapshotOffset());
      const isDue = nextOffset - lastOffset >= maxRecordsBetween ||
        nextOffset > 0 && nowMs - writtenAtMs >= maxAgeMs;
      if (!isDue || !options.isPreferred()) return;
      yield* options.writer.append({
        kind: "snapshot",
        recordId: randomUUID(),
        stream: options.stream,
        nextOffset,
        state: options.codec.encode(view.current()),
      });
      writtenOffset = nextOffset;
      writtenAtMs = nowMs;
    });
    const round = Effect.ignore(write).pipe(
      Effect.andThen(
        Effect.sleep(options.intervalMs ?? DEFAULT_INTERVAL_MS),
      ),
    );
    yield* Effect.forkScoped(Effect.forever(round));
  });
}

function readRetained(log: LogService, fromOffset: number) {
  return log.read(SNAPSHOT_STREAM, { fromOffset }).pipe(
    Effect.catchTag(
      "LogTruncated",
      ({ firstOffset }) =>
        Effect.succeed({ firstOffset, nextOffset: firstOffset, entries: [] }),
    ),
  );
}

function decode<State>(
  record: LogRecord,
  { stream, codec }: ReadSnapshotOptions<State>,
): StreamSnapshot<State> | undefined {
  if (!isSnapshotOf(record, stream)) return undefined;
  const state = codec.decode(record.state);
  const { nextOffset } = record;
  return state === undefined ? undefined : { state, nextOffset };
}

function isSnapshotOf(
  record: LogRecord,
  stream: string,
): record is SnapshotRecord {
  return record.kind === "snapshot" && record.stream === stream;
}

function selectLater<State>(
  known: StreamSnapshot<State> | undefined,
  found: StreamSnapshot<State> | undefined,
): StreamSnapshot<State> | undefined {
  if (found === undefined) return known;
  if (known === undefined) return found;
  return found.nextOffset >= known.nextOffset ? found : known;
}

import type { ConfigSnapshotRecord } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import {
  followLog,
  type LogService,
  LogTruncated,
  type LogUnavailable,
  type LogWriter,
} from "../log/index.ts";
import { type ConfigPosition, createConfigSnapshot } from "./config_update.ts";

/** Stream of configuration records. */
export const CONFIG_STREAM = "config";
/** Stream of configuration snapshots. */
export const CONFIG_SNAPSHOT_STREAM = "config-snapshots";

/** Options of the snapshot writer. */
export interface ConfigSnapshotWriterOptions {
  readonly log: LogService;
  readonly writer: LogWriter;
  readonly position: () => ConfigPosition;
  /** Whether the position is at the end of the log, as far as is known. */
  readonly isCurrent: () => boolean;
  /** Whether this process should write; only saves work, others may write too. */
  readonly isPreferred: () => boolean;
  readonly maxIntervalMs: number;
  readonly maxVersionsBetween?: number;
}

const DEFAULT_MAX_VERSIONS_BETWEEN = 500;
const CHECK_INTERVAL_MS = 1_000;

/** Reads all retained snapshots and returns the one with the highest offset. */
export function readLatestConfigSnapshot(
  log: LogService,
): Effect.Effect<
  ConfigSnapshotRecord | undefined,
  LogUnavailable | LogTruncated
> {
  return Effect.gen(function* () {
    let latest: ConfigSnapshotRecord | undefined;
    let fromOffset = 0;
    while (true) {
      const page = yield* readPage(log, fromOffset);
      for (const { record } of page.entries) {
        if (record.kind !== "config-snapshot") continue;
        if (record.nextOffset >= (latest?.nextOffset ?? 0)) latest = record;
      }
      if (page.nextOffset === page.fromOffset) return latest;
      fromOffset = page.nextOffset;
    }
  });
}

function readPage(log: LogService, fromOffset: number) {
  return log.read(CONFIG_SNAPSHOT_STREAM, { fromOffset }).pipe(
    Effect.map((page) => ({ ...page, fromOffset })),
    Effect.catchTag(
      "LogTruncated",
      ({ firstOffset }) =>
        log.read(CONFIG_SNAPSHOT_STREAM, { fromOffset: firstOffset }).pipe(
          Effect.map((page) => ({ ...page, fromOffset: firstOffset })),
        ),
    ),
  );
}

/**
 * Writes snapshots often enough that retention does not remove the records that
 * follow the last one.
 */
export function runConfigSnapshotWriter(
  options: ConfigSnapshotWriterOptions,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const latest = { version: 0, atMs: 0 };
    yield* Effect.forkScoped(followSnapshots(options, latest));
    const check = writeIfDue(options, latest).pipe(
      Effect.ignore,
      Effect.andThen(Effect.sleep(CHECK_INTERVAL_MS)),
    );
    yield* Effect.forkScoped(Effect.forever(check));
  });
}

interface LatestSnapshot {
  version: number;
  atMs: number;
}

function followSnapshots(
  options: ConfigSnapshotWriterOptions,
  latest: LatestSnapshot,
): Effect.Effect<never> {
  let fromOffset = 0;
  const follow = Effect.suspend(() =>
    followLog({
      log: options.log,
      stream: CONFIG_SNAPSHOT_STREAM,
      fromOffset,
      waitMs: 10_000,
      onPage: ({ entries }) => {
        for (const { record, appendedAtMs } of entries) {
          if (record.kind !== "config-snapshot") continue;
          latest.version = Math.max(latest.version, record.version);
          latest.atMs = Math.max(latest.atMs, appendedAtMs);
        }
      },
    })
  );
  return Effect.forever(
    Effect.catchTag(
      follow,
      "LogTruncated",
      ({ firstOffset }) =>
        Effect.sync(() => {
          fromOffset = firstOffset;
        }),
    ),
  );
}

function writeIfDue(
  options: ConfigSnapshotWriterOptions,
  latest: LatestSnapshot,
) {
  return Effect.gen(function* () {
    const nowMs = yield* Clock.currentTimeMillis;
    const position = options.position();
    const { version } = position.state;
    if (version === 0 || !options.isCurrent()) return;
    const maxVersions = options.maxVersionsBetween ??
      DEFAULT_MAX_VERSIONS_BETWEEN;
    const isDue = nowMs - latest.atMs >= options.maxIntervalMs ||
      version - latest.version >= maxVersions;
    if (!isDue || !options.isPreferred()) return;
    yield* options.writer.append(createConfigSnapshot(position, randomUUID()));
    latest.version = Math.max(latest.version, version);
    latest.atMs = nowMs;
  });
}

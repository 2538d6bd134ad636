import {
  type ConfigSet,
  type ConfigSnapshotRecord,
  validateConfigSet,
  validateConfigSnapshotRecord,
  validateLogRecord,
} from "@celerytray/schema";
import { type Either, Left, Right } from "purify-ts";
import type { LogEntry } from "../log/index.ts";
import { findDanglingReferences } from "./find_dangling_references.ts";
import { type ConfigState, foldConfigRecord } from "./fold_config_record.ts";

/** The state that results from the stream `config` up to an offset. */
export interface ConfigPosition {
  readonly state: ConfigState;
  /** Offset of the first record that is not part of the state. */
  readonly nextOffset: number;
}

/** What one entry instance sends to another that has an older version. */
export interface ConfigUpdate {
  readonly nextOffset: number;
  /** Accepted records since the receiver's version; absent if not kept. */
  readonly entries?: readonly LogEntry[] | undefined;
  /** Complete state, sent when the records don't reach back far enough. */
  readonly snapshot?: ConfigSnapshotRecord | undefined;
}

/**
 * Why an update was not adopted. `gap`: its records don't continue the
 * receiver's version.
 */
export type UpdateRefusal = "not-newer" | "invalid" | "gap";

/** Creates the snapshot record of a position. */
export function createConfigSnapshot(
  { state, nextOffset }: ConfigPosition,
  recordId: string,
): ConfigSnapshotRecord {
  const { version, offset, author, acceptedAtMs, config } = state;
  return {
    kind: "config-snapshot",
    recordId,
    nextOffset,
    version,
    offset,
    author,
    acceptedAtMs,
    config,
    recentVersions: [...state.recentVersions],
  };
}

/**
 * Creates the update for a receiver at a version; undefined if that version is
 * not older than the one in force.
 */
export function createConfigUpdate(
  position: ConfigPosition,
  options: { readonly sinceVersion: number; readonly recordId: string },
): ConfigUpdate | undefined {
  const { state, nextOffset } = position;
  const missing = state.version - options.sinceVersion;
  if (missing <= 0) return undefined;
  if (missing <= state.recentEntries.length) {
    return { nextOffset, entries: state.recentEntries.slice(-missing) };
  }
  return {
    nextOffset,
    snapshot: createConfigSnapshot(position, options.recordId),
  };
}

/** Adopts an update if it is valid and brings a higher version. */
export function adoptConfigUpdate(
  position: ConfigPosition,
  update: ConfigUpdate,
): Either<UpdateRefusal, ConfigPosition> {
  if (update.snapshot !== undefined) {
    return adoptConfigSnapshot(position, update.snapshot);
  }
  const entries = update.entries ?? [];
  if (!entries.every(isConfigEntry)) return Left("invalid");
  const state = entries.reduce(foldConfigRecord, position.state);
  if (state.version <= position.state.version) return Left("not-newer");
  const last = entries.at(-1)!;
  if (state.offset !== last.offset) return Left("gap");
  return Right({ state, nextOffset: advance(position, last.offset + 1) });
}

/** Adopts a snapshot if it is valid and brings a higher version. */
export function adoptConfigSnapshot(
  position: ConfigPosition,
  snapshot: ConfigSnapshotRecord,
): Either<UpdateRefusal, ConfigPosition> {
  if (!isValidSnapshot(snapshot)) return Left("invalid");
  if (snapshot.version < position.state.version) return Left("not-newer");
  const nextOffset = advance(position, snapshot.nextOffset);
  if (snapshot.version === position.state.version) {
    return nextOffset === position.nextOffset
      ? Left("not-newer")
      : Right({ state: position.state, nextOffset });
  }
  const { version, offset, author, acceptedAtMs, recentVersions } = snapshot;
  const state = {
    version,
    config: snapshot.config as unknown as ConfigSet,
    offset,
    author,
    acceptedAtMs,
    recentVersions,
    recentEntries: [],
    recentConfigs: [],
  };
  return Right({ state, nextOffset });
}

function isConfigEntry(entry: LogEntry): boolean {
  return Number.isInteger(entry?.offset) &&
    Number.isFinite(entry.appendedAtMs) &&
    validateLogRecord(entry.record) && entry.record.kind === "config";
}

function isValidSnapshot(snapshot: ConfigSnapshotRecord): boolean {
  return validateConfigSnapshotRecord(snapshot) &&
    snapshot.offset < snapshot.nextOffset &&
    validateConfigSet(snapshot.config) &&
    findDanglingReferences(snapshot.config as unknown as ConfigSet).length ===
      0;
}

function advance(position: ConfigPosition, nextOffset: number): number {
  return Math.max(position.nextOffset, nextOffset);
}

import {
  type ConfigRecord,
  type ConfigSet,
  validateConfigSet,
} from "@celerytray/schema";
import type { LogEntry } from "../log/index.ts";
import { applyConfigPatch } from "./config_patch.ts";

/** A version that was accepted. */
export interface AcceptedVersion {
  readonly version: number;
  readonly recordId: string;
}

/** The configuration in force, as the log's order decided it. */
export interface ConfigState {
  /** Rises by one with each accepted record; 0 before the first. */
  readonly version: number;
  readonly config: ConfigSet;
  /** Offset of the record that made this version. */
  readonly offset: number;
  readonly author: string;
  /** Log service's clock, Unix time. */
  readonly acceptedAtMs: number;
  /** The latest accepted records, oldest first. */
  readonly recentVersions: readonly AcceptedVersion[];
}

const MAX_RECENT_VERSIONS = 64;

/** The state before any record. */
export function emptyConfigState(): ConfigState {
  return {
    version: 0,
    config: {
      availabilityZones: {},
      organisations: {},
      deployments: {},
      services: {},
    },
    offset: -1,
    author: "",
    acceptedAtMs: 0,
    recentVersions: [],
  };
}

/**
 * Accepts a configuration record if it refines the version in force and
 * gives a valid configuration; otherwise returns the state unchanged.
 */
export function foldConfigRecord(
  state: ConfigState,
  entry: LogEntry,
): ConfigState {
  const { record, offset } = entry;
  if (record.kind !== "config" || offset <= state.offset) return state;
  if (record.refinesVersion !== state.version) return state;
  const config = applyConfigPatch(state.config, record.patch);
  if (!validateConfigSet(config)) return state;
  return acceptVersion(state, { entry, record, config: config as ConfigSet });
}

interface AcceptedRecord {
  readonly entry: LogEntry;
  readonly record: ConfigRecord;
  readonly config: ConfigSet;
}

function acceptVersion(
  state: ConfigState,
  accepted: AcceptedRecord,
): ConfigState {
  const { entry, record, config } = accepted;
  const version = state.version + 1;
  const recentVersions = [
    ...state.recentVersions,
    { version, recordId: record.recordId },
  ];
  return {
    version,
    config,
    offset: entry.offset,
    author: record.author,
    acceptedAtMs: entry.appendedAtMs,
    recentVersions: recentVersions.slice(-MAX_RECENT_VERSIONS),
  };
}

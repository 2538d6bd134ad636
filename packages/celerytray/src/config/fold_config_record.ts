import type { AcceptedVersion, ConfigSet } from "@celerytray/schema";
import type { LogEntry } from "../log/index.ts";
import { applyConfigPatch } from "./config_patch.ts";
import { isValidChange } from "./is_valid_change.ts";

/** The configuration in force, determined by the order of records on the log. */
export interface ConfigState {
  /** Increases by one with each accepted record; 0 before the first. */
  readonly version: number;
  readonly config: ConfigSet;
  /** Offset of the record that created this version. */
  readonly offset: number;
  readonly author: string;
  /** Log service's clock, Unix time. */
  readonly acceptedAtMs: number;
  /** The latest accepted versions, oldest first. */
  readonly recentVersions: readonly AcceptedVersion[];
  /** Records of the latest versions, without gaps, for peers that lag. */
  readonly recentEntries: readonly LogEntry[];
  /** Configurations of the latest versions, oldest first, for a rollback. */
  readonly recentConfigs: readonly ConfigSet[];
}

/** Versions whose records and authors are kept. */
export const MAX_RECENT_VERSIONS = 64;

/** Creates the state before the first record. */
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
    recentEntries: [],
    recentConfigs: [],
  };
}

/**
 * Applies a configuration record if it refines the version in force and
 * results in a valid configuration; otherwise returns the state unchanged.
 */
export function foldConfigRecord(
  state: ConfigState,
  entry: LogEntry,
): ConfigState {
  const { record, offset } = entry;
  if (record.kind !== "config" || offset <= state.offset) return state;
  if (record.refinesVersion !== state.version) return state;
  const config = applyConfigPatch(state.config, record.patch);
  if (!isValidChange(config, record.patch)) return state;
  return acceptVersion(state, { entry, config });
}

interface AcceptedRecord {
  readonly entry: LogEntry;
  readonly config: ConfigSet;
}

function acceptVersion(
  state: ConfigState,
  { entry, config }: AcceptedRecord,
): ConfigState {
  const version = state.version + 1;
  const author = entry.record.kind === "config" ? entry.record.author : "";
  const acceptedAtMs = entry.appendedAtMs;
  const { recordId } = entry.record;
  return {
    version,
    config,
    offset: entry.offset,
    author,
    acceptedAtMs,
    recentVersions: keepRecent(state.recentVersions, {
      version,
      recordId,
      author,
      acceptedAtMs,
    }),
    recentEntries: keepRecent(state.recentEntries, entry),
    recentConfigs: keepRecent(state.recentConfigs, config),
  };
}

function keepRecent<Item>(items: readonly Item[], item: Item): Item[] {
  return [...items, item].slice(-MAX_RECENT_VERSIONS);
}

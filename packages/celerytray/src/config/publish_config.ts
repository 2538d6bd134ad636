import type { ConfigRecord, ConfigSet } from "@celerytray/schema";
import { Clock, Data, Effect } from "effect";
import type { LogAnswerLost, LogUnavailable } from "../log/index.ts";
import { createConfigPatch } from "./config_patch.ts";
import { describePatch } from "./describe_patch.ts";
import type { ConfigState } from "./fold_config_record.ts";

/** Another operator's change came first; nothing of this one is in force. */
export class ConfigConflict extends Data.TaggedError("ConfigConflict")<{
  /** Version that the change refined. */
  readonly refinedVersion: number;
  /** Version now in force, and who published it. */
  readonly currentVersion: number;
  readonly currentAuthor: string;
  /** What came first, oldest first, as far as it is still known. */
  readonly otherChanges: readonly string[];
  readonly message: string;
}> {}

/** Whether the change will be in force could not be found out in time. */
export class ConfigOutcomeUnknown
  extends Data.TaggedError("ConfigOutcomeUnknown")<{
    readonly recordId: string;
    readonly message: string;
  }> {}

/** The log holds the change, and every entry instance ignores it. */
export class ConfigIgnored extends Data.TaggedError("ConfigIgnored")<{
  readonly message: string;
}> {}

/** Any failure of a publication. */
export type PublishFailure =
  | ConfigConflict
  | ConfigOutcomeUnknown
  | ConfigIgnored
  | LogUnavailable;

/** What publication needs of the entry instance it runs on. */
export interface PublishConfigOptions {
  readonly config: ConfigSet;
  /** Version the operator started from; the one in force if undefined. */
  readonly refinesVersion?: number | undefined;
  readonly author: string;
  readonly recordId: string;
  readonly current: () => ConfigState;
  readonly append: (
    record: ConfigRecord,
  ) => Effect.Effect<number, LogUnavailable | LogAnswerLost>;
  /** Waits until the fold has passed an offset. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
  readonly waitForVersionAbove: (version: number) => Effect.Effect<void>;
  /** Longest wait for the outcome. */
  readonly timeoutMs?: number;
}

/** What publication did. */
export interface PublishedConfig {
  readonly version: number;
  readonly changed: boolean;
}

const DEFAULT_TIMEOUT_MS = 5_000;

/**
 * Publishes a configuration on the version it refines. A lost answer is
 * settled by the record that made the next version; where none does in time,
 * the outcome is told as unknown.
 */
export function publishConfig(
  options: PublishConfigOptions,
): Effect.Effect<PublishedConfig, PublishFailure> {
  return Effect.gen(function* () {
    const before = options.current();
    const refinesVersion = options.refinesVersion ?? before.version;
    if (refinesVersion !== before.version) {
      return yield* createConflict(refinesVersion, before);
    }
    const patch = createConfigPatch(before.config, options.config);
    if (patch === undefined) {
      return { version: before.version, changed: false };
    }
    const record: ConfigRecord = {
      kind: "config",
      recordId: options.recordId,
      refinesVersion,
      patch,
      author: options.author,
      publishedAtMs: yield* Clock.currentTimeMillis,
    };
    yield* appendAndWait(options, record).pipe(
      Effect.timeoutOption(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    );
    return yield* settle(options, refinesVersion);
  });
}

/** Ends once the fold tells the outcome. */
function appendAndWait(
  options: PublishConfigOptions,
  record: ConfigRecord,
): Effect.Effect<void, LogUnavailable | ConfigIgnored> {
  const moved = options.waitForVersionAbove(record.refinesVersion);
  const appended = options.append(record).pipe(
    Effect.flatMap((offset) => options.waitForOffset(offset)),
    Effect.andThen(Effect.suspend(() => checkMoved(options, record))),
    Effect.catchTag("LogAnswerLost", () => Effect.never),
  );
  return Effect.raceFirst(moved, appended);
}

function checkMoved(
  options: PublishConfigOptions,
  record: ConfigRecord,
): Effect.Effect<void, ConfigIgnored> {
  if (options.current().version > record.refinesVersion) return Effect.void;
  return Effect.fail(
    new ConfigIgnored({
      message:
        "The change is on the log but gives no valid configuration; check the versions of the entry instances",
    }),
  );
}

function settle(
  options: PublishConfigOptions,
  refinesVersion: number,
): Effect.Effect<PublishedConfig, ConfigConflict | ConfigOutcomeUnknown> {
  const state = options.current();
  const next = state.recentVersions.find(({ version }) =>
    version === refinesVersion + 1
  );
  if (next?.recordId === options.recordId) {
    return Effect.succeed({ version: next.version, changed: true });
  }
  if (next !== undefined) {
    return Effect.fail(createConflict(refinesVersion, state));
  }
  return Effect.fail(
    new ConfigOutcomeUnknown({
      recordId: options.recordId,
      message:
        `Whether the change comes into force on version ${refinesVersion} is unknown; look at config history before applying again`,
    }),
  );
}

function createConflict(
  refinedVersion: number,
  current: ConfigState,
): ConfigConflict {
  const otherChanges = describeChangesSince(current, refinedVersion);
  const changes = otherChanges.length === 0
    ? ""
    : `; what came first: ${otherChanges.join("; ")}`;
  return new ConfigConflict({
    refinedVersion,
    currentVersion: current.version,
    currentAuthor: current.author,
    otherChanges,
    message:
      `Version ${current.version} by ${current.author} is in force, not ${refinedVersion}; compare with config diff and apply again${changes}`,
  });
}

/** One line for each version after the one given. */
function describeChangesSince(state: ConfigState, version: number): string[] {
  return state.recentEntries.flatMap(({ record }) => {
    if (record.kind !== "config" || record.refinesVersion < version) return [];
    const change = describePatch(record.patch as Record<string, unknown>);
    return [
      `version ${record.refinesVersion + 1} by ${record.author}: ${change}`,
    ];
  });
}

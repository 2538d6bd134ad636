import type { ConfigRecord, ConfigSet } from "@celerytray/schema";
import { Clock, Data, Effect } from "effect";
import type { LogAnswerLost, LogUnavailable } from "../log/index.ts";
import { createConfigPatch } from "./config_patch.ts";
import { describePatch } from "./describe_patch.ts";
import type { ConfigState } from "./fold_config_record.ts";

/** Another operator's change came first; this change has no effect. */
export class ConfigConflict extends Data.TaggedError("ConfigConflict")<{
  /** Version that the change was based on. */
  readonly refinedVersion: number;
  /** Version now in force, and who published it. */
  readonly currentVersion: number;
  readonly currentAuthor: string;
  /** Changes since that version, oldest first, as far as they are retained. */
  readonly otherChanges: readonly string[];
  readonly message: string;
}> {}

/** It was not known in time whether the change comes into force. */
export class ConfigOutcomeUnknown
  extends Data.TaggedError("ConfigOutcomeUnknown")<{
    readonly recordId: string;
    readonly message: string;
  }> {}

/** The log holds the change, but every entry instance ignores it as invalid. */
export class ConfigIgnored extends Data.TaggedError("ConfigIgnored")<{
  readonly message: string;
}> {}

/** Any failure of a publication. */
export type PublishFailure =
  | ConfigConflict
  | ConfigOutcomeUnknown
  | ConfigIgnored
  | LogUnavailable;

/** The change to publish, and access to the entry instance that publishes it. */
export interface PublishConfigOptions {
  readonly config: ConfigSet;
  /** Version that the change is based on; the one in force if undefined. */
  readonly refinesVersion?: number | undefined;
  readonly author: string;
  readonly recordId: string;
  readonly current: () => ConfigState;
  readonly append: (
    record: ConfigRecord,
  ) => Effect.Effect<number, LogUnavailable | LogAnswerLost>;
  /** Waits until the record at an offset has been applied. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
  readonly waitForVersionAbove: (version: number) => Effect.Effect<void>;
  /** Maximum wait for the outcome. */
  readonly timeoutMs?: number;
}

/** Result of a publication. */
export interface PublishedConfig {
  readonly version: number;
  readonly changed: boolean;
}

const DEFAULT_TIMEOUT_MS = 5_000;

/**
 * Publishes a configuration based on the version that it refines. If the answer
 * to the append is lost, the record that creates the next version decides the
 * outcome; if none does in time, fails with `ConfigOutcomeUnknown`.
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
    return yield* determineOutcome(options, refinesVersion);
  });
}

/** Appends the record and waits until the state shows the outcome. */
function appendAndWait(
  options: PublishConfigOptions,
  record: ConfigRecord,
): Effect.Effect<void, LogUnavailable | ConfigIgnored> {
  const versionAdvanced = options.waitForVersionAbove(record.refinesVersion);
  const appended = options.append(record).pipe(
    Effect.flatMap((offset) => options.waitForOffset(offset)),
    Effect.andThen(Effect.suspend(() => checkVersionAdvanced(options, record))),
    Effect.catchTag("LogAnswerLost", () => Effect.never),
  );
  return Effect.raceFirst(versionAdvanced, appended);
}

function checkVersionAdvanced(
  options: PublishConfigOptions,
  record: ConfigRecord,
): Effect.Effect<void, ConfigIgnored> {
  if (options.current().version > record.refinesVersion) return Effect.void;
  return Effect.fail(
    new ConfigIgnored({
      message:
        "The change is on the log but does not result in a valid configuration; check the versions of the entry instances",
    }),
  );
}

function determineOutcome(
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
    : `; changes since then: ${otherChanges.join("; ")}`;
  return new ConfigConflict({
    refinedVersion,
    currentVersion: current.version,
    currentAuthor: current.author,
    otherChanges,
    message:
      `Version ${current.version} by ${current.author} is in force, not ${refinedVersion}; compare with config diff and apply again${changes}`,
  });
}

/** Describes each version after the given one in one line. */
function describeChangesSince(state: ConfigState, version: number): string[] {
  return state.recentEntries.flatMap(({ record }) => {
    if (record.kind !== "config" || record.refinesVersion < version) return [];
    const change = describePatch(record.patch as Record<string, unknown>);
    return [
      `version ${record.refinesVersion + 1} by ${record.author}: ${change}`,
    ];
  });
}

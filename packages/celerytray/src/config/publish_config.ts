import type { ConfigRecord, ConfigSet } from "@celerytray/schema";
import { Clock, Data, Effect } from "effect";
import type { LogAnswerLost, LogUnavailable } from "../log/index.ts";
import { createConfigPatch } from "./config_patch.ts";
import type { ConfigState } from "./fold_config_record.ts";

/** Another operator's change came first; nothing of this one is in force. */
export class ConfigConflict extends Data.TaggedError("ConfigConflict")<{
  /** Version that the change refined. */
  readonly refinedVersion: number;
  /** Version now in force, and who published it. */
  readonly currentVersion: number;
  readonly currentAuthor: string;
  readonly message: string;
}> {}

/** What publication needs of the entry instance it runs on. */
export interface PublishConfigOptions {
  readonly config: ConfigSet;
  /** Version the operator started from; the one in force if undefined. */
  readonly refinesVersion?: number;
  readonly author: string;
  readonly recordId: string;
  readonly current: () => ConfigState;
  readonly append: (
    record: ConfigRecord,
  ) => Effect.Effect<number, LogUnavailable | LogAnswerLost>;
  /** Waits until the fold has passed an offset. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
}

/** What publication did. */
export interface PublishedConfig {
  readonly version: number;
  readonly changed: boolean;
}

/** Publishes a configuration on the version it refines. */
export function publishConfig(
  options: PublishConfigOptions,
): Effect.Effect<
  PublishedConfig,
  ConfigConflict | LogUnavailable | LogAnswerLost
> {
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
    const offset = yield* options.append({
      kind: "config",
      recordId: options.recordId,
      refinesVersion,
      patch,
      author: options.author,
      publishedAtMs: yield* Clock.currentTimeMillis,
    });
    yield* options.waitForOffset(offset);
    const after = options.current();
    const accepted = after.recentVersions.find((recent) =>
      recent.recordId === options.recordId
    );
    if (accepted === undefined) {
      return yield* createConflict(refinesVersion, after);
    }
    return { version: accepted.version, changed: true };
  });
}

function createConflict(
  refinedVersion: number,
  current: ConfigState,
): ConfigConflict {
  return new ConfigConflict({
    refinedVersion,
    currentVersion: current.version,
    currentAuthor: current.author,
    message:
      `Version ${current.version} by ${current.author} is in force, not ${refinedVersion}; compare with config diff and apply again`,
  });
}

import type { ConfigRecord, ConfigSet } from "@celerytray/schema";
import { Clock, Effect } from "effect";
import { randomUUID } from "node:crypto";
import type {
  AdminOperations,
  ConfigVersionDescription,
  EntryVersion,
} from "../admin/index.ts";
import {
  addDrain,
  checkConfig,
  ConfigProblem,
  ConfigRejected,
  type ConfigState,
  describePatch,
  publishConfig,
  type PublishedConfig,
  type PublishFailure,
  removeDrain,
} from "../config/index.ts";
import { fromEither } from "../errors/index.ts";
import { listOtherEntries } from "./entry_membership.ts";
import type { EntryParts } from "./entry_parts.ts";

type ConfigOperations = Pick<
  AdminOperations,
  | "showConfig"
  | "applyConfig"
  | "rollbackConfig"
  | "configHistory"
  | "configVersions"
  | "drain"
>;

const CONCURRENT_READS = 16;
/**
 * Reported because other entry instances may exist while the instance list has
 * not been read.
 */
const INSTANCE_LIST_NOT_READ: EntryVersion = {
  instanceId: "(others)",
  problem: "The instance list has not been read yet; check its address",
};
/** Attempts of a drain that conflicts with other operators' changes. */
const MAX_DRAIN_ATTEMPTS = 5;

/** Creates the operations on the configuration. */
export function createConfigOperations(parts: EntryParts): ConfigOperations {
  const { current } = parts.config;
  return {
    showConfig: () =>
      Effect.sync(() => {
        const { version, author, acceptedAtMs, config } = current();
        return { version, author, acceptedAtMs, config };
      }),
    applyConfig: ({ config, refinesVersion, author }) =>
      Effect.gen(function* () {
        const checked = yield* checkSubmitted(config);
        return yield* publish(parts, {
          config: keepDrains(checked, current().config),
          refinesVersion,
          author,
        });
      }),
    rollbackConfig: ({ version, author }) =>
      Effect.gen(function* () {
        const earlier = yield* findVersion(current(), version);
        return yield* publish(parts, {
          config: keepDrains(earlier, current().config),
          refinesVersion: current().version,
          author,
        });
      }),
    configHistory: () => Effect.sync(() => describeHistory(current())),
    configVersions: () => readVersions(parts),
    drain: ({ target, isDrained, author }) => {
      const attempt = Effect.gen(function* () {
        const { config, version } = current();
        const nowMs = yield* Clock.currentTimeMillis;
        return yield* publish(parts, {
          config: isDrained
            ? addDrain(config, { target, author, nowMs })
            : removeDrain(config, target),
          refinesVersion: version,
          author,
        });
      });
      return Effect.retry(attempt, {
        times: MAX_DRAIN_ATTEMPTS - 1,
        while: ({ _tag }) => _tag === "ConfigConflict",
      });
    },
  };
}

interface ConfigChange {
  readonly config: ConfigSet;
  readonly refinesVersion: number | undefined;
  readonly author: string;
}

function publish(
  parts: EntryParts,
  change: ConfigChange,
): Effect.Effect<PublishedConfig, PublishFailure> {
  return publishConfig({
    ...change,
    recordId: randomUUID(),
    current: parts.config.current,
    append: (record: ConfigRecord) => parts.configWriter.append(record),
    waitForOffset: parts.config.waitForOffset,
    waitForVersionAbove: parts.config.waitForVersionAbove,
  });
}

/** Keeps the drains in force, as an applied folder must not end them. */
function keepDrains(config: ConfigSet, inForce: ConfigSet): ConfigSet {
  const { drains: _drains, ...rest } = config;
  const { drains } = inForce;
  return drains === undefined ? rest : { ...rest, drains };
}

function checkSubmitted(
  content: unknown,
): Effect.Effect<ConfigSet, ConfigRejected> {
  const checked = checkConfig({ content, sources: new Map() });
  return fromEither(checked.mapLeft(createRejection));
}

function findVersion(
  state: ConfigState,
  version: number,
): Effect.Effect<ConfigSet, ConfigRejected> {
  const config = state.recentConfigs.at(version - state.version - 1);
  const isKept = version > state.version - state.recentConfigs.length &&
    version <= state.version;
  if (isKept && config !== undefined) return Effect.succeed(config);
  return Effect.fail(createRejection([
    new ConfigProblem({
      file: "",
      field: "version",
      message:
        `version ${version} is not available on this entry instance; apply the folder of that version instead`,
    }),
  ]));
}

function createRejection(problems: readonly ConfigProblem[]): ConfigRejected {
  return new ConfigRejected({
    problems,
    message: problems.map(String).join("\n"),
  });
}

function describeHistory(state: ConfigState): ConfigVersionDescription[] {
  const changes = new Map(
    state.recentEntries.map(({ record }) => [
      record.recordId,
      record.kind === "config"
        ? describePatch(record.patch as Record<string, unknown>)
        : "",
    ]),
  );
  return state.recentVersions.map((accepted) => ({
    ...accepted,
    changes: changes.get(accepted.recordId),
  }));
}

/** Reads the version in force from every known entry instance. */
function readVersions(parts: EntryParts): Effect.Effect<EntryVersion[]> {
  const { version, acceptedAtMs } = parts.config.current();
  const self = {
    instanceId: parts.settings.instanceId,
    version,
    acceptedAtMs,
  };
  return Effect.forEach(
    listOtherInstances(parts),
    ({ instanceId, adminAddress }) =>
      parts.transport.readVersion(adminAddress).pipe(
        Effect.map((read) => ({ instanceId, ...read })),
        Effect.catch(({ message }) =>
          Effect.succeed({ instanceId, problem: message })
        ),
      ),
    { concurrency: CONCURRENT_READS },
  ).pipe(
    Effect.map((versions): EntryVersion[] =>
      parts.directory.readAtMs() === undefined
        ? [self, ...versions, INSTANCE_LIST_NOT_READ]
        : [self, ...versions]
    ),
  );
}

/** The other entry instances on the instance list or known from exchanges. */
function listOtherInstances(parts: EntryParts) {
  const { directory, membership, settings } = parts;
  const others = new Map(
    listOtherEntries(directory, settings.instanceId).map((entry) => [
      entry.instanceId,
      entry,
    ]),
  );
  for (const member of membership.table.members) {
    if (member.state === "left") others.delete(member.instanceId);
    else others.set(member.instanceId, member);
  }
  return [...others.values()];
}

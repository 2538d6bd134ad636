import type { ConfigSet } from "@celerytray/schema";
import { Effect } from "effect";
import { readdir, readFile } from "node:fs/promises";
import { extname, join } from "node:path";
import { Either } from "purify-ts";
import { fromEither } from "../errors/index.ts";
import { checkConfig } from "./check_config.ts";
import { ConfigProblem, ConfigRejected } from "./config_problem.ts";
import { mergeConfigFiles, type MergedConfig } from "./merge_config_files.ts";
import { type ConfigFile, parseConfigFile } from "./parse_config_file.ts";

/** A valid configuration folder. */
export interface LoadedConfig {
  readonly config: ConfigSet;
  readonly merged: MergedConfig;
}

const CONFIG_EXTENSIONS = [".yaml", ".yml", ".json"];

/** Reads, merges and validates a folder; fails with all problems found. */
export function loadConfigFolder(
  folder: string,
): Effect.Effect<LoadedConfig, ConfigRejected> {
  return Effect.gen(function* () {
    const texts = yield* readFolder(folder);
    const parsed = texts.map(({ name, text }) => parseConfigFile(name, text));
    const problems = Either.lefts(parsed).flat();
    if (problems.length > 0) return yield* rejectConfig(problems);
    const files: ConfigFile[] = Either.rights(parsed);
    const merged = mergeConfigFiles(files);
    const checked = checkConfig(merged).mapLeft(createRejection);
    return { config: yield* fromEither(checked), merged };
  });
}

interface FileText {
  readonly name: string;
  readonly text: string;
}

function readFolder(
  folder: string,
): Effect.Effect<readonly FileText[], ConfigRejected> {
  return Effect.tryPromise({
    try: async () => {
      const names = (await readdir(folder)).filter((name) =>
        CONFIG_EXTENSIONS.includes(extname(name))
      );
      if (names.length === 0) {
        throw new Error(
          `it has no ${CONFIG_EXTENSIONS.join(", ")} file; add one`,
        );
      }
      return await Promise.all(names.map(async (name) => ({
        name,
        text: await readFile(join(folder, name), "utf8"),
      })));
    },
    catch: (cause) =>
      createRejection([
        new ConfigProblem({
          file: folder,
          field: "",
          message: `cannot read the folder: ${(cause as Error).message}`,
        }),
      ]),
  });
}

function rejectConfig(
  problems: readonly ConfigProblem[],
): Effect.Effect<never, ConfigRejected> {
  return Effect.fail(createRejection(problems));
}

function createRejection(problems: readonly ConfigProblem[]): ConfigRejected {
  return new ConfigRejected({
    problems,
    message: problems.map(String).join("\n"),
  });
}

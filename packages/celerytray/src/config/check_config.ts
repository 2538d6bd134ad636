import { type ConfigSet, validateConfigSet } from "@celerytray/schema";
import { type Either, Left, Right } from "purify-ts";
import { listValidationProblems } from "../errors/index.ts";
import { ConfigProblem } from "./config_problem.ts";
import {
  type DanglingReference,
  findDanglingReferences,
} from "./find_dangling_references.ts";
import type { MergedConfig } from "./merge_config_files.ts";

/** Validates a merged folder: schema, drains and references. */
export function checkConfig(
  merged: MergedConfig,
): Either<readonly ConfigProblem[], ConfigSet> {
  if (!validateConfigSet(merged.content)) {
    const problems = listValidationProblems(validateConfigSet);
    return Left(
      problems.map(({ field, message }) =>
        new ConfigProblem({ file: findSource(merged, field), field, message })
      ),
    );
  }
  const config = merged.content as ConfigSet;
  const problems = [
    ...findDrainProblems(config),
    ...findDanglingReferences(config),
  ].map(({ field, message }) =>
    new ConfigProblem({ file: findSource(merged, field), field, message })
  );
  return problems.length > 0 ? Left(problems) : Right(config);
}

function findDrainProblems(config: ConfigSet): DanglingReference[] {
  if (config.drains === undefined) return [];
  return [{
    field: "drains",
    message:
      "drains can't be set in a folder; remove the section and use celerytray drain",
  }];
}

/**
 * The file that set a field; otherwise the file that set a field below it, or
 * the closest field above it.
 */
function findSource(merged: MergedConfig, field: string): string {
  const exact = merged.sources.get(field);
  if (exact !== undefined) return exact;
  for (const [path, file] of merged.sources) {
    if (path.startsWith(`${field}.`)) return file;
  }
  const parent = field.slice(0, Math.max(0, field.lastIndexOf(".")));
  return parent === "" ? "" : findSource(merged, parent);
}

import { Either, Left, Right } from "purify-ts";
import { parseDocument } from "yaml";
import { isSection } from "./config_patch.ts";
import { ConfigProblem } from "./config_problem.ts";

/** A parsed file of the configuration folder. */
export interface ConfigFile {
  readonly name: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/** Limits alias expansion, which could otherwise exhaust memory. */
const MAX_ALIASES = 100;

/** Parses one YAML or JSON file; duplicate keys are a problem. */
export function parseConfigFile(
  name: string,
  text: string,
): Either<readonly ConfigProblem[], ConfigFile> {
  const document = parseDocument(text, {
    uniqueKeys: true,
    prettyErrors: true,
  });
  const problems = document.errors.map((error) =>
    new ConfigProblem({
      file: name,
      field: "",
      message: `${firstLine(error.message)}; correct the file`,
    })
  );
  if (problems.length > 0) return Left(problems);
  return Either.encase<Error, unknown>(() =>
    document.toJS({ maxAliasCount: MAX_ALIASES }) ?? {}
  ).mapLeft(({ message }) => [
    new ConfigProblem({
      file: name,
      field: "",
      message: `${firstLine(message)}; correct the alias`,
    }),
  ]).chain((content) => checkSections(name, content));
}

function checkSections(
  name: string,
  content: unknown,
): Either<readonly ConfigProblem[], ConfigFile> {
  if (isSection(content)) return Right({ name, content });
  return Left([
    new ConfigProblem({
      file: name,
      field: "",
      message: "must hold named sections; start with a section name",
    }),
  ]);
}

function firstLine(text: string): string {
  return text.split("\n")[0]!.replace(/:$/, "");
}

import { type Either, Left, Right } from "purify-ts";
import { parseDocument } from "yaml";
import { ConfigProblem } from "./config_problem.ts";

/** One parsed file of the folder. */
export interface ConfigFile {
  readonly name: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/** Parses one YAML or JSON file; a key that stands twice is a problem. */
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
  const content: unknown = document.toJS({ maxAliasCount: 100 }) ?? {};
  if (!isPlainObject(content)) {
    return Left([
      new ConfigProblem({
        file: name,
        field: "",
        message: "must hold named sections; start with a section name",
      }),
    ]);
  }
  return Right({ name, content });
}

function firstLine(text: string): string {
  return text.split("\n")[0]!.replace(/:$/, "");
}

function isPlainObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

import { type LogLine, parseLogLines } from "celerytray";
import { readFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";

/** Reads structured log files. Fails with a message that names the unreadable file. */
export async function readLogFiles(
  files: readonly string[],
): Promise<Either<string, readonly LogLine[]>> {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...parseLogLines(await readFile(file, "utf8")));
    } catch (error) {
      return Left(
        `${(error as Error).message}; check the path and its permissions`,
      );
    }
  }
  return Right(lines);
}

import { type LogLine, parseLogLines } from "celerytray";
import { readFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";

/** Lines of structured logs; fails with the file that can't be read. */
export async function readLogFiles(
  files: readonly string[],
): Promise<Either<string, readonly LogLine[]>> {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...parseLogLines(await readFile(file, "utf8")));
    } catch (error) {
      return Left(`${(error as Error).message}; give files that can be read`);
    }
  }
  return Right(lines);
}

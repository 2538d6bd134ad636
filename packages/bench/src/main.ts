/** Runs one benchmark: `npm run -s bench -- NAME [--json]`. */
import type { BenchResult } from "./bench.ts";
import { benches } from "./benches.ts";

const [name] = process.argv.slice(2).filter((arg) => !arg.startsWith("--"));
const isJson = process.argv.includes("--json");
const bench = benches.find((known) => known.name === name);

if (bench === undefined) {
  const names = benches.map((known) => `  ${known.name}  ${known.description}`);
  console.error(`No such benchmark; name one of these:\n${names.join("\n")}`);
  process.exitCode = 2;
} else {
  const result = await bench.run();
  if (isJson) console.log(JSON.stringify({ name, ...result }, null, 2));
  else printTables(result);
}

function printTables(result: BenchResult): void {
  console.table(result.rows);
  console.table(result.targets);
}

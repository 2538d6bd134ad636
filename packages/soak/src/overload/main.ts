/** Command line of the overloaded fleet: `npm run overload -- --seed 1`. */
import { Builtins, Cli, Command, Option, UsageError } from "clipanion";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { groupBy } from "./group_by.ts";
import { describeCut, type JudgedStream } from "./judge_streams.ts";
import { type OverloadResult, runOverload } from "./run_overload.ts";

const TARGET = fileURLToPath(
  new URL("../../../../target/", import.meta.url),
);
const PROGRAM = join(TARGET, "celerytray_host.mjs");

class OverloadCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      "Run six entry processes before 66 model instances that are overloaded",
  });
  seed = Option.String("--seed", "1", { description: "Seed of the run" });
  durationS = Option.String("--duration-s", "40", {
    description: "How long callers call, in seconds",
  });
  callers = Option.String("--callers", "100", {
    description: "How many callers there are",
  });
  programs = Option.Array("--program", {
    description: "Bundled programs, which the entry processes run in turn",
  });
  silences = Option.Boolean("--silences", true);
  resets = Option.Boolean("--resets", true);
  drains = Option.Boolean("--drains", true);
  pauses = Option.Boolean("--pauses", true);
  restarts = Option.Boolean("--restarts", true);

  async execute(): Promise<number> {
    const result = await runOverload({
      seed: readNumber(this.seed, "--seed"),
      durationMs: readNumber(this.durationS, "--duration-s") * 1_000,
      callers: readNumber(this.callers, "--callers"),
      programs: this.programs ?? [PROGRAM],
      hasSilences: this.silences,
      hasResets: this.resets,
      hasDrains: this.drains,
      hasPauses: this.pauses,
      hasRestarts: this.restarts,
    });
    const cut = result.streams.filter(({ outcome }) => outcome === "cut");
    for (const stream of cut) {
      this.#print(`CUT ${describeCut(stream, result.disturbances)}`);
    }
    this.#print(describeResult(result));
    this.#print(`logs: ${await writeLogs(this.seed, result)}`);
    return cut.length === 0 ? 0 : 1;
  }

  #print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function readNumber(text: string, name: string): number {
  if (/^[0-9]{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${name} is ${text}; give a whole number`);
}

/** A line for each program and model, and counts of what happened. */
function describeResult(result: OverloadResult): string {
  const groups = groupBy(
    result.streams,
    ({ entry, model }) => `${entry.program} ${model}`,
  );
  return [
    ...[...groups].sort(([left], [right]) => left < right ? -1 : 1).map((
      [group, streams],
    ) => `${group}: ${count(streams, ({ outcome }) => outcome)}`),
    `moved or tried again: ${
      result.streams.filter(({ line }) => (line?.attempts.length ?? 0) > 1)
        .length
    }`,
    `ends of what wasn't whole: ${
      count(
        result.streams.filter(({ outcome }) => outcome !== "whole"),
        ({ outcome, line }) =>
          `${outcome} ${line?.cause ?? line?.reason ?? line?.outcome}`,
      )
    }`,
    `runs at heads: ${
      count(result.streams.flatMap(({ runs }) => runs), ({ end }) => end)
    }`,
    `arrivals: ${JSON.stringify(result.arrivals)}; ${result.heads} replicas`,
    `disturbances: ${count(result.disturbances, ({ what }) => what)}`,
  ].join("\n");
}

function count<Item>(
  items: readonly Item[],
  name: (item: Item) => string,
): string {
  return [...groupBy(items, name)]
    .map(([key, group]) => [key, group.length] as const)
    .sort(([, left], [, right]) => right - left)
    .map(([key, size]) => `${size} ${key}`).join(", ");
}

async function writeLogs(
  seed: string,
  { logs, streams, disturbances }: OverloadResult,
): Promise<string> {
  const folder = join(TARGET, "overload", `seed-${seed}-${Date.now()}`);
  await mkdir(folder, { recursive: true });
  for (const [name, log] of logs) {
    await writeFile(join(folder, `${name}.log`), log);
  }
  const unwhole = streams.filter(({ outcome }) => outcome !== "whole");
  const text = unwhole.map((stream: JudgedStream) =>
    `${stream.outcome} ${describeCut(stream, disturbances)}\n`
  );
  await writeFile(join(folder, "streams.txt"), text.join(""));
  return folder;
}

/** Exits on these signals; the processes end with it. */
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(130));
}

const cli = new Cli({ binaryName: "overload" });
cli.register(OverloadCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));

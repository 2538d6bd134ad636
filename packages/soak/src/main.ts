/** Command line of the soak: `npm run soak -- --seeds 50`. */
import { Builtins, Cli, Command, Option, UsageError } from "clipanion";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { countJudgedCuts, describeCut } from "./cut_checks.ts";
import { countBegunEnds, describeEnds } from "./end_causes.ts";
import { checks } from "./checks.ts";
import { isKnownRed, type KnownRed, readKnownRed } from "./known_red.ts";
import { createPlan, describePlan } from "./plan.ts";
import { runSoak, type SoakResult } from "./run_soak.ts";
import { planTargets } from "./soak_cluster.ts";

const TARGET = fileURLToPath(new URL("../../../target/", import.meta.url));
const PROGRAM = join(TARGET, "celerytray_host.mjs");

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Run the bundled program under seeded faults",
  });
  first = Option.String("--first-seed", "1", {
    description: "Seed to begin with",
  });
  seeds = Option.String("--seeds", "1", {
    description: "How many seeds to run",
  });
  program = Option.String("--program", PROGRAM, {
    description: "Bundled program to run, such as that of an earlier build",
  });
  knownRed = Option.String("--known-red", {
    description: "List of known failures, which are printed and passed over",
  });
  isPlanOnly = Option.Boolean("--plan", false, {
    description: "Only print the plans",
  });

  async execute(): Promise<number> {
    const first = readNumber(this.first, "--first-seed");
    const count = readNumber(this.seeds, "--seeds");
    const known = await this.#readKnownRed();
    let redCount = 0;
    let failedCount = 0;
    for (let seed = first; seed < first + count; seed++) {
      const plan = createPlan(seed, planTargets);
      this.#print(describePlan(plan));
      if (this.isPlanOnly) continue;
      const result = await runSoak({
        plan,
        program: { path: this.program },
        checks,
        onViolation: ({ check, message }) =>
          this.#print(`  RED ${check}: ${message}`),
      });
      for (const cut of countJudgedCuts(result.history)) {
        this.#print(`  judged: ${describeCut(cut)}`);
      }
      for (const line of countBegunEnds(result.logs)) this.#print(`  ${line}`);
      this.#print(summarise(seed, result));
      if (result.violations.length === 0) continue;
      redCount += 1;
      const failedChecks = result.violations.map(({ check }) => check);
      if (isKnownRed(known, { seed, failedChecks })) {
        const names = [...new Set(failedChecks)].join(", ");
        this.#print(`known red: seed ${seed}, ${names}`);
      } else failedCount += 1;
      const messages = result.violations.map(({ message }) => message);
      for (const end of describeEnds(messages, result.logs)) {
        this.#print(`  ended: ${end}`);
      }
      this.#print(`  logs: ${await writeLogs(seed, result)}`);
      this.#print(`  replay: npm run soak -- --first-seed ${seed}`);
    }
    if (!this.isPlanOnly) {
      this.#print(`${count - redCount} of ${count} seeds green`);
    }
    return failedCount === 0 ? 0 : 1;
  }

  async #readKnownRed(): Promise<KnownRed> {
    const text = this.knownRed === undefined
      ? ""
      : await readFile(this.knownRed, "utf8");
    return readKnownRed(text, checks.map(({ name }) => name));
  }

  #print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function readNumber(text: string, name: string): number {
  if (/^[0-9]{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${name} is ${text}; give a whole number`);
}

function summarise(seed: number, result: SoakResult): string {
  const { calls, memorySamples, restorations, runnerLagMs } = result.history;
  const count = (...statuses: readonly number[]) =>
    calls.filter(({ answer }) => statuses.includes(answer?.status ?? 0)).length;
  const restoreMs = restorations.map(({ faultsEndedAtMs, restoredAtMs }) =>
    Math.round((restoredAtMs ?? Number.NaN) - faultsEndedAtMs)
  );
  const rssMb = Math.max(...memorySamples.map((sample) => sample.rssMb));
  return [
    `seed ${seed} ${result.violations.length === 0 ? "green" : "RED"}`,
    `${calls.length} calls, ${count(200)} served`,
    `${count(429, 503)} refused`,
    `${count(0)} without an answer`,
    `restored after ${restoreMs.join(" and ")} ms`,
    `${Math.round(rssMb)} MB at most`,
    `${result.history.joinedAnswers.length} answers joined`,
    `${result.skippedCount} faults skipped`,
    `runner lag up to ${Math.round(runnerLagMs)} ms`,
  ].join(", ");
}

async function writeLogs(seed: number, { logs }: SoakResult): Promise<string> {
  const folder = join(TARGET, "soak", `seed-${seed}`);
  await mkdir(folder, { recursive: true });
  for (const [name, log] of logs) {
    await writeFile(join(folder, `${name}.log`), log);
  }
  return folder;
}

/** Exits on these signals; the processes of the soak end with it. */
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(130));
}

const cli = new Cli({ binaryName: "soak" });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));

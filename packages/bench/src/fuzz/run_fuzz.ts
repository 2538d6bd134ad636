import fc from "fast-check";
import type { FuzzTarget } from "./fuzz_targets.ts";

/** Results of a fuzz run. */
export interface FuzzResult {
  readonly input: string;
  readonly cases: number;
  /** Cases accepted as valid. */
  readonly accepted: number;
  readonly crashes: number;
  readonly firstCrash: string;
  readonly [column: string]: string | number;
}

/** Feeds a target the cases generated from a seed. */
export function runFuzz(
  target: FuzzTarget,
  options: { readonly caseCount: number; readonly seed: number },
): FuzzResult {
  const cases = fc.sample(target.cases, {
    numRuns: options.caseCount,
    seed: options.seed,
  });
  let accepted = 0;
  const crashes: string[] = [];
  for (const input of cases) {
    try {
      if (target.accepts(input)) accepted += 1;
      checkPrototypePollution();
    } catch (error) {
      crashes.push(`${formatInput(input)}: ${(error as Error).stack ?? error}`);
    }
  }
  return {
    input: target.name,
    cases: cases.length,
    accepted,
    crashes: crashes.length,
    firstCrash: crashes[0] ?? "",
  };
}

/** Throws if an input polluted `Object.prototype`, and cleans it up. */
function checkPrototypePollution(): void {
  const names = Object.keys(Object.prototype);
  if (names.length === 0) return;
  const objectPrototype = Object.prototype as Record<string, unknown>;
  for (const name of names) delete objectPrototype[name];
  throw new Error(`Input set ${names.join(", ")} on Object.prototype`);
}

const MAX_INPUT_LENGTH = 500;

function formatInput(value: unknown): string {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return String(text).slice(0, MAX_INPUT_LENGTH);
}

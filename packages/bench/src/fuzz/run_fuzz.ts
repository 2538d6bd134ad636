import fc from "fast-check";
import type { FuzzTarget } from "./fuzz_targets.ts";

/** What a run found. */
export interface FuzzResult {
  readonly input: string;
  readonly cases: number;
  /** Cases taken as valid. */
  readonly accepted: number;
  readonly crashes: number;
  readonly firstCrash: string;
  readonly [column: string]: string | number;
}

/** Feeds a target cases of one seed. */
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
  for (const each of cases) {
    try {
      if (target.accept(each)) accepted += 1;
      checkPrototype();
    } catch (error) {
      crashes.push(`${describe(each)}: ${(error as Error).stack ?? error}`);
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

/** An input must not reach what all objects share. */
function checkPrototype(): void {
  const names = Object.keys(Object.prototype);
  if (names.length === 0) return;
  const shared = Object.prototype as Record<string, unknown>;
  for (const name of names) delete shared[name];
  throw new Error(`Set ${names.join(", ")} on the prototype of all objects`);
}

const MAX_DESCRIPTION_LENGTH = 500;

function describe(value: unknown): string {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return String(text).slice(0, MAX_DESCRIPTION_LENGTH);
}

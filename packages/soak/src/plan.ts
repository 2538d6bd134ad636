import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type LinkFault, linkFaults } from "./loopback_proxy.ts";

/** Faults of the store. */
export const storeFaults = [
  "out",
  "slow",
  "loses-answers",
  "forgets-history",
  "refuses-some",
] as const;

/** What is done from outside. */
export type FaultAction =
  | { readonly kind: "terminate" | "kill" | "pause"; readonly process: string }
  | {
    readonly kind: "link";
    readonly of: "callers" | "store" | "instance";
    readonly name: string;
    readonly fault: LinkFault;
  }
  | { readonly kind: "store"; readonly fault: typeof storeFaults[number] }
  | { readonly kind: "withdraw"; readonly key: string }
  | { readonly kind: "config" }
  | { readonly kind: "die" | "leave" | "cool"; readonly instance: string }
  | { readonly kind: "evacuate"; readonly zone: string }
  | { readonly kind: "burst" };

/** An action, when it begins in its series, and how long it lasts. */
export interface PlannedFault {
  readonly atMs: number;
  readonly forMs: number;
  readonly action: FaultAction;
}

/** Series of faults, each followed by a time without any. */
export interface SoakPlan {
  readonly seed: number;
  readonly series: readonly (readonly PlannedFault[])[];
}

/** What there is to be made faulty. */
export interface PlanTargets {
  readonly processes: readonly string[];
  readonly instances: readonly string[];
  readonly zones: readonly string[];
  /** Keys that may be withdrawn, each once. */
  readonly keys: readonly string[];
}

const SERIES_COUNT = 2;
const MIN_FAULTS = 3;
const MAX_FAULTS = 6;
const SERIES_MS = 4_000;
const MIN_FAULT_MS = 400;
const MAX_FAULT_MS = 3_500;
/** Longer than the bounds after which nothing may arrive. */
const FIXED_MS: Partial<Record<FaultAction["kind"], number>> = {
  evacuate: 8_000,
  leave: 6_000,
};

/** Draws a plan; the same seed gives the same plan. */
export function createPlan(seed: number, targets: PlanTargets): SoakPlan {
  const draw = new PlanDraw(seed);
  const keys = [...targets.keys];
  const series = Array.from({ length: SERIES_COUNT }, () => {
    const count = draw.integer(MIN_FAULTS, MAX_FAULTS);
    return Array.from({ length: count }, () => drawFault(draw, targets, keys))
      .sort((left, right) => left.atMs - right.atMs);
  });
  return { seed, series };
}

/** One line for each fault. */
export function describePlan({ seed, series }: SoakPlan): string {
  const lines = series.flatMap((faults, index) =>
    faults.map(({ atMs, forMs, action }) =>
      `  series ${index} at ${atMs} ms for ${forMs} ms: ${
        Object.values(action).join(" ")
      }`
    )
  );
  return [`plan of seed ${seed}`, ...lines].join("\n");
}

function drawFault(
  draw: PlanDraw,
  targets: PlanTargets,
  keys: string[],
): PlannedFault {
  const atMs = draw.integer(0, SERIES_MS);
  const forMs = draw.integer(MIN_FAULT_MS, MAX_FAULT_MS);
  const action = drawAction(draw, targets, keys);
  return { atMs, forMs: FIXED_MS[action.kind] ?? forMs, action };
}

function drawAction(
  draw: PlanDraw,
  targets: PlanTargets,
  keys: string[],
): FaultAction {
  const { processes, instances, zones } = targets;
  const kind = draw.pick(faultKinds);
  switch (kind) {
    case "terminate":
    case "kill":
    case "pause":
      return { kind, process: draw.pick(processes) };
    case "link":
      return drawLinkFault(draw, targets);
    case "store":
      return { kind, fault: draw.pick(storeFaults) };
    case "withdraw": {
      const key = keys.shift();
      return key === undefined ? { kind: "config" } : { kind, key };
    }
    case "die":
    case "leave":
    case "cool":
      return { kind, instance: draw.pick(instances) };
    case "evacuate":
      return { kind, zone: draw.pick(zones) };
    case "config":
    case "burst":
      return { kind };
  }
}

function drawLinkFault(draw: PlanDraw, targets: PlanTargets): FaultAction {
  const of = draw.pick(["callers", "store", "instance"] as const);
  const names = of === "instance" ? targets.instances : targets.processes;
  const fault = draw.pick(linkFaults);
  return { kind: "link", of, name: draw.pick(names), fault };
}

/** Kinds that are named more than once are drawn more often. */
export const faultKinds = [
  "terminate",
  "terminate",
  "kill",
  "pause",
  "link",
  "link",
  "link",
  "store",
  "withdraw",
  "withdraw",
  "config",
  "die",
  "leave",
  "cool",
  "evacuate",
  "burst",
] as const;

class PlanDraw {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  integer(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }
}

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * A fault of one engine, of all engines of a fabric domain (`dark`) or of the
 * weight store (`store`). Times count from the start of the day.
 */
export interface Fault {
  readonly kind: "death" | "restart" | "pause" | "straggler" | "dark" | "store";
  readonly atMs: number;
  readonly endsAtMs: number;
  /** Engine or fabric domain; empty for the weight store. */
  readonly target: string;
}

/** Seed and possible targets of a day of faults. */
export interface FaultDayOptions {
  readonly seed: number;
  readonly engineIds: readonly string[];
  readonly fabricDomains: readonly string[];
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/**
 * Instances in the reference fleet of 13,000 accelerators, 8 per instance. Its
 * deaths and restarts a day are scaled to the size of the fleet under test.
 */
const REFERENCE_INSTANCE_COUNT = 13_000 / 8;
const REFERENCE_DEATH_COUNT = 110;
const REFERENCE_RESTART_COUNT = 1_200;
const PAUSE_COUNT = 100;
const STRAGGLER_COUNT = 10;
const FLAPPING_INSTANCE_COUNT = 2;
const FLAPS_PER_INSTANCE = 20;

/** Draws a day of faults, sorted by start; deterministic for a seed. */
export function drawFaultDay(options: FaultDayOptions): Fault[] {
  const generator = xoroshiro128plus(options.seed);
  const drawUniform = (from: number, to: number) =>
    from + (to - from) * uniformFloat64(generator);
  const pick = (names: readonly string[]) =>
    names[Math.floor(drawUniform(0, names.length))]!;
  const sizeRatio = options.engineIds.length / REFERENCE_INSTANCE_COUNT;
  const faults: Fault[] = [];
  const addFault = (
    kind: Fault["kind"],
    { fromMs, toMs, target }: FaultSpan,
  ) => {
    const atMs = drawUniform(0, DAY_MS);
    const endsAtMs = atMs + drawLogUniform(drawUniform, fromMs, toMs);
    faults.push({ kind, atMs, endsAtMs, target });
  };
  repeat(REFERENCE_DEATH_COUNT * sizeRatio, () =>
    addFault("death", {
      fromMs: HOUR_MS,
      toMs: 4 * HOUR_MS,
      target: pick(options.engineIds),
    }));
  repeat(REFERENCE_RESTART_COUNT * sizeRatio, () =>
    addFault("restart", {
      fromMs: 15_000,
      toMs: 3 * MINUTE_MS,
      target: pick(options.engineIds),
    }));
  repeat(PAUSE_COUNT, () =>
    addFault("pause", {
      fromMs: 6_000,
      toMs: 20 * MINUTE_MS,
      target: pick(options.engineIds),
    }));
  repeat(STRAGGLER_COUNT, () =>
    addFault("straggler", {
      fromMs: 10 * MINUTE_MS,
      toMs: HOUR_MS,
      target: pick(options.engineIds),
    }));
  addFault("dark", {
    fromMs: 2 * HOUR_MS,
    toMs: 2 * HOUR_MS,
    target: pick(options.fabricDomains),
  });
  addFault("store", { fromMs: HOUR_MS, toMs: HOUR_MS, target: "" });
  for (
    let instanceIndex = 0;
    instanceIndex < FLAPPING_INSTANCE_COUNT;
    instanceIndex++
  ) {
    const target = pick(options.engineIds);
    const startMs = drawUniform(0, DAY_MS - HOUR_MS);
    for (let flapIndex = 0; flapIndex < FLAPS_PER_INSTANCE; flapIndex++) {
      const atMs = startMs + flapIndex * 3 * MINUTE_MS;
      faults.push({ kind: "pause", atMs, endsAtMs: atMs + 20_000, target });
    }
  }
  return faults.toSorted((a, b) => a.atMs - b.atMs);
}

interface FaultSpan {
  readonly fromMs: number;
  readonly toMs: number;
  readonly target: string;
}

function drawLogUniform(
  drawUniform: (from: number, to: number) => number,
  from: number,
  to: number,
): number {
  return Math.exp(drawUniform(Math.log(from), Math.log(to)));
}

function repeat(count: number, run: () => void): void {
  for (let index = 0; index < Math.round(count); index++) run();
}

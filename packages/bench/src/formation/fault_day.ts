import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** One fault of one engine, one fabric domain or the weight store. */
export interface Fault {
  readonly kind: "death" | "restart" | "pause" | "straggler" | "dark" | "store";
  readonly atMs: number;
  readonly endsAtMs: number;
  /** Engine or fabric domain; empty for the weight store. */
  readonly target: string;
}

/** What a day of faults is drawn from. */
export interface FaultDayOptions {
  readonly seed: number;
  readonly engineIds: readonly string[];
  readonly fabricDomains: readonly string[];
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Instances of 8 accelerators among 13,000 accelerators. */
const REFERENCE_INSTANCES = 13_000 / 8;
const REFERENCE_DEATHS = 110;
const REFERENCE_RESTARTS = 1_200;
const PAUSES = 100;
const STRAGGLERS = 10;
const FLAPPING_INSTANCES = 2;
const FLAPS = 20;

/** Draws a day of faults; the same seed gives the same day. */
export function drawFaultDay(options: FaultDayOptions): Fault[] {
  const generator = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) =>
    from + (to - from) * uniformFloat64(generator);
  const pick = (names: readonly string[]) =>
    names[Math.floor(draw(0, names.length))]!;
  const scale = options.engineIds.length / REFERENCE_INSTANCES;
  const faults: Fault[] = [];
  const add = (
    kind: Fault["kind"],
    { fromMs, toMs, target }: Span,
  ) => {
    const atMs = draw(0, DAY_MS);
    const endsAtMs = atMs + drawLogarithmic(draw, fromMs, toMs);
    faults.push({ kind, atMs, endsAtMs, target });
  };
  repeat(REFERENCE_DEATHS * scale, () =>
    add("death", {
      fromMs: HOUR_MS,
      toMs: 4 * HOUR_MS,
      target: pick(options.engineIds),
    }));
  repeat(REFERENCE_RESTARTS * scale, () =>
    add("restart", {
      fromMs: 15_000,
      toMs: 3 * MINUTE_MS,
      target: pick(options.engineIds),
    }));
  repeat(PAUSES, () =>
    add("pause", {
      fromMs: 6_000,
      toMs: 20 * MINUTE_MS,
      target: pick(options.engineIds),
    }));
  repeat(STRAGGLERS, () =>
    add("straggler", {
      fromMs: 10 * MINUTE_MS,
      toMs: HOUR_MS,
      target: pick(options.engineIds),
    }));
  add("dark", {
    fromMs: 2 * HOUR_MS,
    toMs: 2 * HOUR_MS,
    target: pick(options.fabricDomains),
  });
  add("store", { fromMs: HOUR_MS, toMs: HOUR_MS, target: "" });
  for (let flapping = 0; flapping < FLAPPING_INSTANCES; flapping++) {
    const target = pick(options.engineIds);
    const startMs = draw(0, DAY_MS - HOUR_MS);
    for (let flap = 0; flap < FLAPS; flap++) {
      const atMs = startMs + flap * 3 * MINUTE_MS;
      faults.push({ kind: "pause", atMs, endsAtMs: atMs + 20_000, target });
    }
  }
  return faults.toSorted((a, b) => a.atMs - b.atMs);
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
  readonly target: string;
}

function drawLogarithmic(
  draw: (from: number, to: number) => number,
  from: number,
  to: number,
): number {
  return Math.exp(draw(Math.log(from), Math.log(to)));
}

function repeat(count: number, run: () => void): void {
  for (let index = 0; index < Math.round(count); index++) run();
}

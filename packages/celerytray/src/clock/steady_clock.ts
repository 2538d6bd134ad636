import { Clock, Effect } from "effect";

const NANOSECONDS_PER_MS = 1e6;

/** Time of the steady (monotonic) clock. Only differences are meaningful. */
export const steadyMs: Effect.Effect<number> = Effect.map(
  Clock.monotonicTimeNanos,
  toMs,
);

/** Reads the steady clock outside an effect. */
export function readSteadyMs(clock: Clock.Clock): number {
  return toMs(clock.monotonicTimeNanosUnsafe());
}

function toMs(nanoseconds: bigint): number {
  return Number(nanoseconds) / NANOSECONDS_PER_MS;
}

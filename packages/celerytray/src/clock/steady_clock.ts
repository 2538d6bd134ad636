import { Clock, Effect } from "effect";

const NANOSECONDS_PER_MS = 1e6;

/** Time of a clock that never jumps; only differences mean something. */
export const steadyMs: Effect.Effect<number> = Effect.map(
  Clock.monotonicTimeNanos,
  toMs,
);

/** Reads that clock outside an effect. */
export function readSteadyMs(clock: Clock.Clock): number {
  return toMs(clock.monotonicTimeNanosUnsafe());
}

function toMs(nanoseconds: bigint): number {
  return Number(nanoseconds) / NANOSECONDS_PER_MS;
}

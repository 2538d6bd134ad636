/**
 * How often processes tell each other something, and what follows for how old
 * a status may be. No figure depends on the number of processes: many are told
 * by way of relays, which is one step more.
 */

/** Longest time for which the lead keeps a report before it answers. */
export const LEAD_HOLD_MS = 250;
/** The same for a relay, whose answers go to most processes. */
export const RELAY_HOLD_MS = 1_000;
/** Time beyond that for which an answer is awaited. */
export const ANSWER_TIMEOUT_MS = 600;
/** Shortest time between two reports of a process. */
export const REPORT_GAP_MS = 100;
/** Shortest time between answers that only tell of the list or the configuration. */
export const UPDATE_GAP_MS = 250;
/** Steps in which the lead says what is new. */
export const PUBLISH_STEP_MS = 100;
/** Time for which a new lead relies on how many processes there were before. */
export const INHERIT_MS = 3_000;
/** Time for which a sum over reports is taken as it is. */
export const SUM_REUSE_MS = 20;
/** Steps in which heads that newly stand still are noticed. */
export const HEADS_STEP_MS = 100;

/** Longest time for which a read of the lead waits at the store. */
export const LEAD_READ_WAIT_MS = 500;

/**
 * Age up to which what another process tells of a topic of the store is enough.
 * Relays turn to the store first, and tell the others.
 */
export function maxToldAgeMs(steps: StatusPath): number {
  return LEAD_READ_WAIT_MS + maxStatusAgeMs(steps) + TOLD_MARGIN_MS;
}

const TOLD_MARGIN_MS = 50;

/** Time for which a process counts as present whose report was kept for a time. */
export function presentMs(holdMs: number): number {
  return Math.max(holdMs, LEAD_HOLD_MS) + 2 * ANSWER_TIMEOUT_MS;
}

/** Age of the lead's status at a process that hears it by a sound way. */
export function usualStatusAgeMs(steps: StatusPath): number {
  return LEAD_HOLD_MS + (steps === "direct" ? 0 : RELAY_HOLD_MS);
}

/** Age up to which the lead's status counts. */
export function maxStatusAgeMs(steps: StatusPath): number {
  return usualStatusAgeMs(steps) + ANSWER_TIMEOUT_MS;
}

/** Time until what a process has counted comes back to it in the sum of all. */
export function sumLagMs(steps: StatusPath): number {
  return 2 * usualStatusAgeMs(steps) + SUM_MARGIN_MS;
}

const SUM_MARGIN_MS = 200;

/** Age of the lead's status from which on the lead counts as silent. */
export function silenceMs(steps: StatusPath): number {
  return steps === "direct"
    ? LEAD_HOLD_MS + ANSWER_TIMEOUT_MS + SILENCE_MARGIN_MS
    : maxStatusAgeMs(steps) + RELAYS_FIRST_MS;
}

/** Age of the lead's status at a relay from which on another one is asked. */
export const STALE_RELAY_MS = 2 * (LEAD_HOLD_MS + ANSWER_TIMEOUT_MS);

/** Whether a process hears the lead itself, or by way of a relay. */
export type StatusPath = "direct" | "relayed";

/** An answer may come just after its time. */
const SILENCE_MARGIN_MS = 100;
/** Time that relays have to replace a lead before other processes try. */
const RELAYS_FIRST_MS = 1_500;

import type { LeadAnswer } from "./peer_router.ts";

/** What a process knows of the lead that it follows. */
export interface LeadSigns {
  /** Answer to the newest report; undefined where none came. */
  readonly answer: LeadAnswer | undefined;
  /** Whether the lead's address refuses connections. */
  readonly isDown: boolean;
  /** Time since the lead last answered. */
  readonly silentMs: number;
  /** Time since the store last answered this process. */
  readonly ownStoreAgeMs: number;
  readonly reportIntervalMs: number;
}

/** Why a lead is to be replaced. */
export type ReplacementReason =
  | "it doesn't lead"
  | "it is down"
  | "the store doesn't answer it"
  | "it is silent";

/** Silence of the lead, beyond a report's interval, after which another process takes its place. */
const LEAD_SILENCE_MS = 550;
/** Age of the lead's last answer from the store at which it is replaced. */
const LEAD_STORE_AGE_MS = 2_800;
/** Own answers from the store must be newer to take the place. */
const OWN_STORE_AGE_MS = 2_500;

/** Why the lead is to be replaced; undefined while it is not. */
export function findReplacementReason(
  signs: LeadSigns,
): ReplacementReason | undefined {
  const { answer, isDown, silentMs, ownStoreAgeMs } = signs;
  if (answer !== undefined && !answer.isLeading) return "it doesn't lead";
  if (isDown) return "it is down";
  if (
    answer !== undefined && answer.storeAgeMs > LEAD_STORE_AGE_MS &&
    ownStoreAgeMs < OWN_STORE_AGE_MS
  ) return "the store doesn't answer it";
  return silentMs > silenceBoundMs(signs) ? "it is silent" : undefined;
}

/** Longest time without an answer for which the lead counts as heard. */
export function silenceBoundMs(
  { reportIntervalMs }: Pick<LeadSigns, "reportIntervalMs">,
): number {
  return LEAD_SILENCE_MS + reportIntervalMs;
}

import { silenceMs, type StatusPath } from "./intervals.ts";

/** What a process knows of the lead that it follows. */
export interface LeadSigns {
  /** Whether the lead itself said just now that it doesn't lead. */
  readonly deniesLead: boolean;
  /** Whether the lead's address refuses connections. */
  readonly isDown: boolean;
  /** Whether this process reports to the lead itself. */
  readonly steps: StatusPath;
  /** Age of the lead's newest status. */
  readonly silentMs: number;
  /** Time since the store last answered the lead, as far as that is known. */
  readonly leadStoreAgeMs: number;
  /** Time since the store last answered this process. */
  readonly ownStoreAgeMs: number;
}

/** Why a lead is to be replaced. */
export type ReplacementReason =
  | "it doesn't lead"
  | "it is down"
  | "the store doesn't answer it"
  | "it is silent";

/** Age of the lead's last answer from the store at which it is replaced. */
const LEAD_STORE_AGE_MS = 2_800;
/** Own answers from the store must be newer to take the place. */
const OWN_STORE_AGE_MS = 2_500;

/** Why the lead is to be replaced; undefined while it is not. */
export function findReplacementReason(
  signs: LeadSigns,
): ReplacementReason | undefined {
  const { deniesLead, isDown, steps, silentMs } = signs;
  if (deniesLead) return "it doesn't lead";
  if (isDown) return "it is down";
  if (silentMs > silenceMs(steps)) return "it is silent";
  const isWithoutStore = signs.leadStoreAgeMs > LEAD_STORE_AGE_MS &&
    signs.ownStoreAgeMs < OWN_STORE_AGE_MS;
  return isWithoutStore ? "the store doesn't answer it" : undefined;
}

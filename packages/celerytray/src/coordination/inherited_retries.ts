import type { SharedTotals } from "../serving/index.ts";
import { TAKEOVER_GRACE_MS } from "./intervals.ts";

/** Options of the retries that a new leader inherits. */
export interface InheritedRetriesOptions {
  /** Totals that the predecessor published last. */
  readonly totals: SharedTotals;
  readonly takenOverAtMs: number;
  readonly windowMs: number;
}

/**
 * The retries that a new leader knows from its predecessor's status only. Until
 * every process has reported to it, those totals are a lower bound; what the
 * reports then lack was done by processes that are gone, and counts until it
 * has left the retry window.
 */
export class InheritedRetries {
  readonly #options: InheritedRetriesOptions;
  /** Retries that no report contains, by service; set after the grace time. */
  #missing: ReadonlyMap<string, number> | undefined;

  constructor(options: InheritedRetriesOptions) {
    this.#options = options;
  }

  /** Adds to the totals of the reports what they lack. */
  complete(reported: SharedTotals, nowMs: number): SharedTotals {
    const { totals, takenOverAtMs, windowMs } = this.#options;
    const elapsedMs = nowMs - takenOverAtMs;
    if (elapsedMs >= windowMs) return reported;
    const isComplete = elapsedMs >= TAKEOVER_GRACE_MS;
    const missing = this.#missing ?? findMissing(totals, reported);
    if (isComplete) this.#missing = missing;
    const completed: Record<string, SharedTotals[string]> = { ...reported };
    for (const [service, retries] of missing) {
      const { requests, repeats } = reported[service] ??
        { requests: 0, repeats: 0 };
      completed[service] = {
        // Requests of processes that have not reported yet count as well.
        requests: isComplete
          ? requests
          : Math.max(requests, totals[service]!.requests),
        repeats: repeats + retries,
      };
    }
    return completed;
  }
}

/** Retries of the predecessor's totals that the reports don't contain. */
function findMissing(
  totals: SharedTotals,
  reported: SharedTotals,
): ReadonlyMap<string, number> {
  return new Map(
    Object.entries(totals).map(([service, { repeats }]) => [
      service,
      Math.max(0, repeats - (reported[service]?.repeats ?? 0)),
    ]),
  );
}

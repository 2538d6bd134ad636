import type { SharedTotals } from "../serving/index.ts";
import type { PeerReport } from "./peer_messages.ts";

interface Departed {
  readonly repeats: SharedTotals;
  readonly atMs: number;
}

/**
 * The retries of processes that no longer report. They count until all of them
 * have left the retry window, whatever became of the process.
 */
export class DepartedRetries {
  readonly #windowMs: number;
  readonly #departed = new Map<string, Departed>();

  constructor(options: { readonly windowMs: number }) {
    this.#windowMs = options.windowMs;
  }

  /** Adds a process that sent its last report at a time. */
  add(report: PeerReport, atMs: number): void {
    this.#departed.set(createKey(report), {
      repeats: report.summary.repeats,
      atMs,
    });
  }

  /** Removes a process that reports again and still has its counts. */
  remove(report: PeerReport): void {
    this.#departed.delete(createKey(report));
  }

  /** Lists their retries, without requests, by service. */
  list(nowMs: number): readonly SharedTotals[] {
    for (const [key, { atMs }] of this.#departed) {
      if (nowMs - atMs >= this.#windowMs) this.#departed.delete(key);
    }
    return [...this.#departed.values()].map(({ repeats }) =>
      Object.fromEntries(
        Object.entries(repeats).map(([service, totals]) => [
          service,
          { requests: 0, repeats: totals.repeats },
        ]),
      )
    );
  }
}

function createKey({ reporter, bootId }: PeerReport): string {
  return `${reporter.nodeId} ${bootId}`;
}

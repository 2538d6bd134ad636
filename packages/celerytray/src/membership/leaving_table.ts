import type { LeavingReport } from "./exchange.ts";

/** Back ends that are leaving, from whichever source said so first. */
export class LeavingTable {
  readonly #seenAtMs = new Map<string, number>();
  readonly #maxAgeMs: number;

  /** A report counts for a time; its sources repeat it while it holds. */
  constructor(options: { readonly maxAgeMs: number }) {
    this.#maxAgeMs = options.maxAgeMs;
  }

  /** Takes note of a back end that is leaving now. */
  note(instanceId: string, seenAtMs: number): void {
    const known = this.#seenAtMs.get(instanceId) ?? 0;
    this.#seenAtMs.set(instanceId, Math.max(known, seenAtMs));
  }

  isLeaving(instanceId: string, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(instanceId);
    return seenAtMs !== undefined && nowMs - seenAtMs < this.#maxAgeMs;
  }

  /** The latest reports, up to a number. */
  createReports(nowMs: number, maxCount: number): LeavingReport[] {
    for (const [instanceId] of this.#seenAtMs) {
      if (!this.isLeaving(instanceId, nowMs)) this.#seenAtMs.delete(instanceId);
    }
    return [...this.#seenAtMs].toSorted(([, a], [, b]) => b - a)
      .slice(0, maxCount)
      .map(([instanceId, seenAtMs]) => [instanceId, nowMs - seenAtMs] as const);
  }
}

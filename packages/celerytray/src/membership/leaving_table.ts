import type { LeavingReport } from "./exchange.ts";

/** Back ends that are leaving, as reported by any source. */
export class LeavingTable {
  readonly #seenAtMs = new Map<string, number>();
  readonly #maxAgeMs: number;

  /** Reports expire after `maxAgeMs`; sources repeat them while they hold. */
  constructor(options: { readonly maxAgeMs: number }) {
    this.#maxAgeMs = options.maxAgeMs;
  }

  /** Records that a back end was leaving at a time. */
  record(instanceId: string, seenAtMs: number): void {
    const known = this.#seenAtMs.get(instanceId) ?? 0;
    this.#seenAtMs.set(instanceId, Math.max(known, seenAtMs));
  }

  isLeaving(instanceId: string, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(instanceId);
    return seenAtMs !== undefined && nowMs - seenAtMs < this.#maxAgeMs;
  }

  /** Creates reports of the back ends seen leaving most recently. */
  createReports(nowMs: number, maxCount: number): LeavingReport[] {
    for (const [instanceId] of this.#seenAtMs) {
      if (!this.isLeaving(instanceId, nowMs)) this.#seenAtMs.delete(instanceId);
    }
    return [...this.#seenAtMs].toSorted(([, a], [, b]) => b - a)
      .slice(0, maxCount)
      .map(([instanceId, seenAtMs]) => [instanceId, nowMs - seenAtMs] as const);
  }
}

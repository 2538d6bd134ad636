/**
 * Tracks requests sent by this entry instance that no report can contain yet.
 */
export class SentLog {
  readonly #reportLagMs: number;
  readonly #sentAtMs = new Map<string, number[]>();

  /** `reportLagMs`: age of a report when it is read. */
  constructor(options: { readonly reportLagMs: number }) {
    this.#reportLagMs = options.reportLagMs;
  }

  noteSent(replicaId: string, nowMs: number): void {
    const times = this.#sentAtMs.get(replicaId);
    if (times === undefined) this.#sentAtMs.set(replicaId, [nowMs]);
    else times.push(nowMs);
  }

  /**
   * Removes requests that the report contains: those sent before it was made.
   */
  noteReport(replicaId: string, nowMs: number): void {
    const times = this.#sentAtMs.get(replicaId);
    if (times === undefined) return;
    const madeAtMs = nowMs - this.#reportLagMs;
    const newer = times.filter((sentAtMs) => sentAtMs > madeAtMs);
    if (newer.length === 0) this.#sentAtMs.delete(replicaId);
    else this.#sentAtMs.set(replicaId, newer);
  }

  count(replicaId: string): number {
    return this.#sentAtMs.get(replicaId)?.length ?? 0;
  }
}

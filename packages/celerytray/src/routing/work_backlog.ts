interface Backlog {
  workMs: number;
  atMs: number;
}

/**
 * Work that this entry instance gave each replica and that its share of the
 * replica's time has not yet covered.
 */
export class WorkBacklog {
  readonly #entryCount: () => number;
  readonly #backlogs = new Map<string, Backlog>();

  constructor(options: { readonly entryCount: () => number }) {
    this.#entryCount = options.entryCount;
  }

  add(
    replicaId: string,
    work: { readonly workMs: number; readonly nowMs: number },
  ): void {
    const { workMs, nowMs } = work;
    const backlog = this.#backlogs.get(replicaId);
    if (backlog === undefined) {
      this.#backlogs.set(replicaId, { workMs, atMs: nowMs });
      return;
    }
    backlog.workMs = this.#findRest(backlog, nowMs) + workMs;
    backlog.atMs = nowMs;
  }

  /** Work of this entry instance that is not yet covered. */
  workMs(replicaId: string, nowMs: number): number {
    const backlog = this.#backlogs.get(replicaId);
    return backlog === undefined ? 0 : this.#findRest(backlog, nowMs);
  }

  #findRest(backlog: Backlog, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - backlog.atMs);
    return Math.max(0, backlog.workMs - elapsedMs / this.#entryCount());
  }
}

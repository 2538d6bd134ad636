interface Backlog {
  workMs: number;
  atMs: number;
}

/**
 * Tracks the work that this entry instance sent to each replica and that its
 * share of the replica's time has not yet covered.
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
    backlog.workMs = this.#remainingMs(backlog, nowMs) + workMs;
    backlog.atMs = nowMs;
  }

  /** Returns this entry instance's uncovered work at a replica. */
  workMs(replicaId: string, nowMs: number): number {
    const backlog = this.#backlogs.get(replicaId);
    return backlog === undefined ? 0 : this.#remainingMs(backlog, nowMs);
  }

  #remainingMs(backlog: Backlog, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - backlog.atMs);
    return Math.max(0, backlog.workMs - elapsedMs / this.#entryCount());
  }
}

import type { Liveness } from "./replica_run.ts";

interface Doubt {
  /** Time since which the instance may have been silent. */
  readonly sinceMs: number;
  failedProbes: number;
}

/** Probes that must fail, one after the other, before an instance is silent. */
const FAILED_PROBES_TO_SILENCE = 2;

/** What probes and orders tell of instances beside the list. */
export class LivenessBook {
  readonly #doubts = new Map<string, Doubt>();
  readonly #ended = new Set<string>();

  /** Takes note that an instance did not answer or is doubted. */
  noteDoubt(instanceId: string, nowMs: number): void {
    if (!this.#doubts.has(instanceId)) {
      this.#doubts.set(instanceId, { sinceMs: nowMs, failedProbes: 0 });
    }
  }

  noteProbeFailed(
    instanceId: string,
    outcome: { readonly isRefused: boolean; readonly nowMs: number },
  ): void {
    this.noteDoubt(instanceId, outcome.nowMs);
    this.#doubts.get(instanceId)!.failedProbes += 1;
    if (outcome.isRefused) this.#ended.add(instanceId);
  }

  noteAlive(instanceId: string): void {
    this.#doubts.delete(instanceId);
    this.#ended.delete(instanceId);
  }

  /** Takes note that a doubted instance answered, but stays in doubt. */
  noteProbed(instanceId: string): void {
    const doubt = this.#doubts.get(instanceId);
    if (doubt !== undefined) doubt.failedProbes = 0;
    this.#ended.delete(instanceId);
  }

  forget(instanceId: string): void {
    this.noteAlive(instanceId);
  }

  /** Instances to probe. */
  listDoubted(): readonly string[] {
    return [...this.#doubts.keys()];
  }

  livenessOf(instanceId: string): Liveness {
    if (this.#ended.has(instanceId)) return { kind: "ended" };
    const doubt = this.#doubts.get(instanceId);
    return doubt !== undefined &&
        doubt.failedProbes >= FAILED_PROBES_TO_SILENCE
      ? { kind: "silent", sinceMs: doubt.sinceMs }
      : { kind: "alive" };
  }
}

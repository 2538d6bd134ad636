import type { Liveness } from "./replica_run.ts";

interface Doubt {
  failedProbes: number;
  probedAtMs: number;
}

/** Probes that must fail before an instance counts as silent. */
const FAILED_PROBES_TO_SILENCE = 2;
/** Interval between the probes of a doubted instance. */
const DOUBTED_INTERVAL_MS = 120;
/** Interval between the probes of a silent instance, or an unlisted one. */
const SILENT_INTERVAL_MS = 1_000;

/** What probes and orders tell of instances beside the list. */
export class LivenessTracker {
  readonly #doubts = new Map<string, Doubt>();
  readonly #ended = new Set<string>();

  /** Takes note that an instance did not answer or is doubted. */
  noteDoubt(instanceId: string): void {
    if (this.#doubts.has(instanceId)) return;
    this.#doubts.set(instanceId, {
      failedProbes: 0,
      probedAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  noteProbeFailed(
    instanceId: string,
    outcome: { readonly isRefused: boolean },
  ): void {
    this.noteDoubt(instanceId);
    this.#doubts.get(instanceId)!.failedProbes += 1;
    if (outcome.isRefused) this.#ended.add(instanceId);
  }

  /** Takes note that an instance answered. */
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

  /** Doubted instances that are to be probed now, which it takes note of. */
  takeDue(
    nowMs: number,
    isUnlisted: (instanceId: string) => boolean,
  ): readonly string[] {
    const due: string[] = [];
    for (const [instanceId, doubt] of this.#doubts) {
      const isSlow = this.livenessOf(instanceId).kind !== "alive" ||
        (isUnlisted(instanceId) && doubt.failedProbes === 0);
      const intervalMs = isSlow ? SILENT_INTERVAL_MS : DOUBTED_INTERVAL_MS;
      if (nowMs - doubt.probedAtMs < intervalMs) continue;
      doubt.probedAtMs = nowMs;
      due.push(instanceId);
    }
    return due;
  }

  /** Forgets instances of no further interest. */
  keepOnly(isOfInterest: (instanceId: string) => boolean): void {
    for (const instanceId of [...this.#doubts.keys()]) {
      if (!isOfInterest(instanceId)) this.noteAlive(instanceId);
    }
  }

  isDoubted(instanceId: string): boolean {
    return this.#doubts.has(instanceId);
  }

  livenessOf(instanceId: string): Liveness {
    if (this.#ended.has(instanceId)) return { kind: "ended" };
    const failedProbes = this.#doubts.get(instanceId)?.failedProbes ?? 0;
    return {
      kind: failedProbes >= FAILED_PROBES_TO_SILENCE ? "silent" : "alive",
    };
  }
}

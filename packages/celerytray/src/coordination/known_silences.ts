import type { Reaches } from "../groups/index.ts";

/** A time in which an instance never answered this process. */
interface KnownSilence {
  /** Time at which the first call without an answer began. */
  readonly sinceMs: number;
  /** Time at which the last one ended. */
  readonly untilMs: number;
}

/** Longest time without a call that a silence is taken to go on for. */
const MAX_GAP_MS = 1_500;

/**
 * Silences of instances that this process saw as a leader asked it whether it
 * reaches them. If this process then leads itself, they need not begin anew.
 */
export class KnownSilences {
  readonly #silences = new Map<string, KnownSilence>();

  /** Notes what calls found that began at `askedAtMs` and have just ended. */
  note(
    reaches: Reaches,
    { askedAtMs, nowMs }: {
      readonly askedAtMs: number;
      readonly nowMs: number;
    },
  ): void {
    for (const [id, reach] of Object.entries(reaches)) {
      if (reach === "answered") this.#silences.delete(id);
      if (reach !== "unanswered") continue;
      const sinceMs = this.listSince(askedAtMs).get(id) ?? askedAtMs;
      this.#silences.set(id, { sinceMs, untilMs: nowMs });
    }
  }

  /** Starts of the silences that may still go on, by instance. */
  listSince(nowMs: number): ReadonlyMap<string, number> {
    for (const [id, { untilMs }] of [...this.#silences]) {
      if (nowMs - untilMs > MAX_GAP_MS) this.#silences.delete(id);
    }
    return new Map(
      [...this.#silences].map(([id, { sinceMs }]) => [id, sinceMs]),
    );
  }
}

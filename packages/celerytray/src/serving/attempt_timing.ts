import type { ServingDependencies } from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";

/** The attempt, and where its times are recorded. */
export interface AttemptTimingOptions
  extends Pick<ServingDependencies, "paces" | "silences" | "queueWaits"> {
  readonly target: ServingTarget;
  readonly model: string;
  readonly startedAtMs: number;
}

/** Records how long an attempt waits for its headers and events. */
export class AttemptTiming {
  readonly #options: AttemptTimingOptions;
  #headersAtMs: number | undefined;
  /** Undefined before the first event and after a pause of the caller. */
  #lastEventAtMs: number | undefined;
  #isPaused = false;
  #wasPaused = false;

  constructor(options: AttemptTimingOptions) {
    this.#options = options;
  }

  get hasHeaders(): boolean {
    return this.#headersAtMs !== undefined;
  }

  /** Whether the response is not read because its caller is slow. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  noteHeaders(nowMs: number): void {
    this.#headersAtMs = nowMs;
  }

  noteEvent(nowMs: number): void {
    if (this.#lastEventAtMs !== undefined) {
      this.#notePause(nowMs - this.#lastEventAtMs, nowMs);
    } else if (!this.#wasPaused) {
      const { silences, model, startedAtMs } = this.#options;
      const silentMs = nowMs - startedAtMs;
      silences.note({ model, awaited: "first", silentMs });
    }
    this.#lastEventAtMs = nowMs;
  }

  notePaused(): void {
    this.#isPaused = true;
    this.#wasPaused = true;
  }

  /** The caller caused the pause that ends, not the instance. */
  noteResumed(): void {
    this.#isPaused = false;
    this.#lastEventAtMs = undefined;
  }

  /** Records the service time of a complete stream that never paused. */
  noteStreamed(nowMs: number): void {
    if (this.#wasPaused || this.#headersAtMs === undefined) return;
    const { queueWaits, model } = this.#options;
    queueWaits.noteServed(model, nowMs - this.#headersAtMs);
  }

  #notePause(pauseMs: number, nowMs: number): void {
    // Events that arrive together have no measurable pause between them.
    if (pauseMs <= 0) return;
    const { paces, silences, model, target } = this.#options;
    const { instanceId, epoch } = target;
    paces.notePause({ instanceId, epoch, model, pauseMs, nowMs });
    silences.note({ model, awaited: "next", silentMs: pauseMs });
  }
}

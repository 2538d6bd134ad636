import { JumpDetector } from "../clock/index.ts";

/** Options of the view of how fresh the keys are. */
export interface KeyFreshnessOptions {
  /** Age after which a key that was taken away might be taken for valid. */
  readonly maxAgeMs: number;
  readonly steadyMs: () => number;
  readonly wallMs: () => number;
  /** Asks for a new proof, as the time since the last is not known. */
  readonly onDoubt: () => void;
}

/** Whether the keys that this process holds can still be trusted. */
export class KeyFreshness {
  readonly #options: KeyFreshnessOptions;
  readonly #jumps = new JumpDetector();
  #provenAtMs = Number.NEGATIVE_INFINITY;
  /** Proofs from before this time don't count. */
  #doubtedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: KeyFreshnessOptions) {
    this.#options = options;
  }

  /** Takes note that the keys were the newest at a time. */
  noteProof(atMs: number): void {
    this.#checkClocks();
    if (atMs >= this.#doubtedAtMs && atMs > this.#provenAtMs) {
      this.#provenAtMs = atMs;
    }
  }

  /** Time at which the keys were last known to be the newest. */
  get provenAtMs(): number {
    this.#checkClocks();
    return this.#provenAtMs;
  }

  /** Time since the keys were known to be the newest. */
  ageMs(): number {
    return this.#options.steadyMs() - this.provenAtMs;
  }

  isFresh(): boolean {
    return this.ageMs() < this.#options.maxAgeMs;
  }

  #checkClocks(): void {
    const steadyMs = this.#options.steadyMs();
    const wallMs = this.#options.wallMs();
    if (!this.#jumps.hasJumped({ wallMs, steadyMs })) return;
    this.#doubtedAtMs = steadyMs;
    this.#provenAtMs = Number.NEGATIVE_INFINITY;
    this.#options.onDoubt();
  }
}

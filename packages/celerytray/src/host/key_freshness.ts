import { ClockJumpDetector } from "../clock/index.ts";

/** Options of the key freshness check. */
export interface KeyFreshnessOptions {
  /** Age of the last proof from which a revoked key might still be accepted. */
  readonly maxAgeMs: number;
  /** Age from which a proof no longer shows that the keys are current. */
  readonly maxGapMs: number;
  /**
   * Called when the keys are known again to be current, with the age of the last
   * proof before.
   */
  readonly onGapEnded: (ageMs: number) => void;
  readonly steadyMs: () => number;
  readonly wallMs: () => number;
  /** Called when a clock jump makes the age of the last proof unknown. */
  readonly onClockJump: () => void;
}

/**
 * Tracks whether the API keys of this process are recent enough to trust. A
 * proof confirms that they were the newest at a given time.
 */
export class KeyFreshness {
  readonly #options: KeyFreshnessOptions;
  readonly #jumps = new ClockJumpDetector();
  #provenAtMs = Number.NEGATIVE_INFINITY;
  /** Time of the last clock jump. Earlier proofs do not count. */
  #jumpedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: KeyFreshnessOptions) {
    this.#options = options;
  }

  /** Records that the keys were the newest at a time. */
  noteProof(atMs: number): void {
    this.#checkClocks();
    if (atMs < this.#jumpedAtMs || atMs <= this.#provenAtMs) return;
    const { steadyMs, maxGapMs, onGapEnded } = this.#options;
    const nowMs = steadyMs();
    const lastAgeMs = nowMs - this.#provenAtMs;
    this.#provenAtMs = atMs;
    const hadGap = Number.isFinite(lastAgeMs) && lastAgeMs > maxGapMs;
    if (hadGap && nowMs - atMs <= maxGapMs) onGapEnded(lastAgeMs);
  }

  /** Time at which the keys were last confirmed to be the newest. */
  get provenAtMs(): number {
    this.#checkClocks();
    return this.#provenAtMs;
  }

  /** Time since the keys were last confirmed to be the newest. */
  ageMs(): number {
    return this.#options.steadyMs() - this.provenAtMs;
  }

  isFresh(): boolean {
    return this.ageMs() < this.#options.maxAgeMs;
  }

  #checkClocks(): void {
    const steadyMs = this.#options.steadyMs();
    const wallMs = this.#options.wallMs();
    if (!this.#jumps.detectJump({ wallMs, steadyMs })) return;
    this.#jumpedAtMs = steadyMs;
    this.#provenAtMs = Number.NEGATIVE_INFINITY;
    this.#options.onClockJump();
  }
}

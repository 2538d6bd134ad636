/** Difference between two clocks that counts as a jump. */
const MIN_JUMP_MS = 250;

/**
 * Notices that the time of day moved against the steady clock: it was set, or
 * the machine stood still, which the steady clock doesn't count.
 */
export class ClockJumpDetector {
  #skewMs: number | undefined;

  /** Whether a jump happened since it was last asked. */
  detectJump(time: { readonly wallMs: number; readonly steadyMs: number }) {
    const skewMs = time.wallMs - time.steadyMs;
    const knownMs = this.#skewMs ?? skewMs;
    const hasJumped = Math.abs(skewMs - knownMs) >= MIN_JUMP_MS;
    if (hasJumped || this.#skewMs === undefined) this.#skewMs = skewMs;
    return hasJumped;
  }
}

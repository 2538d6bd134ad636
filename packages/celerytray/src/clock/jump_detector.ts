/** Smallest change of the clock offset that counts as a jump. */
const MIN_JUMP_MS = 250;

/**
 * Detects jumps of the wall clock relative to the steady clock. They occur
 * when the wall clock is set, or when the machine is suspended, a time that the
 * steady clock does not count.
 */
export class ClockJumpDetector {
  #skewMs: number | undefined;

  /** Returns whether a jump has occurred since the last call. */
  detectJump(time: { readonly wallMs: number; readonly steadyMs: number }) {
    const skewMs = time.wallMs - time.steadyMs;
    const previousSkewMs = this.#skewMs ?? skewMs;
    const hasJumped = Math.abs(skewMs - previousSkewMs) >= MIN_JUMP_MS;
    if (hasJumped || this.#skewMs === undefined) this.#skewMs = skewMs;
    return hasJumped;
  }
}

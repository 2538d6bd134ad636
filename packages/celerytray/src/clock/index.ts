/** Time that doesn't jump, and whether the time of day did. */
export { ClockJumpDetector } from "./jump_detector.ts";
export { readSteadyMs, steadyMs } from "./steady_clock.ts";

/** Steady (monotonic) time and detection of wall clock jumps. */
export { ClockJumpDetector } from "./jump_detector.ts";
export { readSteadyMs, steadyMs } from "./steady_clock.ts";

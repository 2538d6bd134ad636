/** What disturbs a run, besides its load and new configurations. */
export interface OverloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly callers: number;
  /** Programs of the entry processes, assigned in turn. */
  readonly programs: readonly string[];
  /** Sound instances fall silent for 1.1 to 1.9 s and go on. */
  readonly hasSilences: boolean;
  /** Heads reset new connections beyond a bound that shrinks with their queue. */
  readonly hasResets: boolean;
  /** Instances drain, leave and come back. */
  readonly hasDrains: boolean;
  /** Entry processes are stopped for a moment (SIGSTOP). */
  readonly hasPauses: boolean;
  /** Entry processes end by SIGTERM, one after another, and start anew. */
  readonly hasRestarts: boolean;
}

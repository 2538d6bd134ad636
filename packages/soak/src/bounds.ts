/** Bounds from the settings and configuration of the processes. */
export const bounds = {
  /** Deadline that every call names. */
  callDeadlineMs: 3_000,
  keyRevocationMs: 5_000,
  evacuationMs: 5_000,
  configApplyMs: 2_000,
  rollbackSlackMs: 250,
  leavingMs: 3_000,
  /** Time after the store's ack that an instance leaves. */
  drainMs: 2_000,
  restoreMs: 15_000,
  coldStartMs: 3_000,
  coldPerSecond: 18,
  coldOvershoot: 1.5,
  coldSlackRequests: 5,
  /** Time after which what one process learnt binds all. */
  stableWindowMs: 3_000,
  limitWindowMs: 4_000,
  limitFactor: 1.5,
  limitSlackRequests: 5,
  poisonCrashes: 5,
  deadlyRequestCrashes: 3,
  poisonRequests: 3,
  /** Memory limit of the smallest machines. */
  memoryMb: 202,
} as const;

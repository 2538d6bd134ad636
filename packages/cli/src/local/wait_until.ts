import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;

/**
 * Polls a check until it returns true. A check that throws counts as false.
 * Fails with the description when the timeout expires.
 */
export async function waitUntil(
  description: string,
  options: {
    readonly timeoutMs: number;
    readonly check: () => Promise<boolean>;
    readonly intervalMs?: number;
  },
): Promise<void> {
  const deadlineMs = Date.now() + options.timeoutMs;
  while (!await options.check().catch(() => false)) {
    if (Date.now() > deadlineMs) {
      throw new Error(
        `Timed out after ${options.timeoutMs} ms: ${description}`,
      );
    }
    await sleep(options.intervalMs ?? POLL_INTERVAL_MS);
  }
}

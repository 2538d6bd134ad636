import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 50;

/** Waits until a check holds; fails with what it waited for. */
export async function waitUntil(
  what: string,
  options: {
    readonly timeoutMs: number;
    readonly check: () => Promise<boolean>;
  },
): Promise<void> {
  const deadlineMs = Date.now() + options.timeoutMs;
  while (!await options.check().catch(() => false)) {
    if (Date.now() > deadlineMs) {
      throw new Error(`Gave up after ${options.timeoutMs} ms: ${what}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

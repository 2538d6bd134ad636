import type { FakeHttpInstance } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";

const LIFE_POLL_MS = 10;

/**
 * Waits until an instance has ended, or for a time. Its next life under the same
 * id is another instance, of which nothing holds that held of this one.
 */
export async function awaitEndOfLife(
  instance: FakeHttpInstance,
  maxMs: number,
): Promise<void> {
  const endMs = performance.now() + maxMs;
  while (instance.isAlive && performance.now() < endMs) {
    await sleep(LIFE_POLL_MS);
  }
}

import { readFile } from "node:fs/promises";
import { waitUntil } from "./wait_until.ts";

const TIMEOUT_MS = 20_000;
const POLL_MS = 2;
/** Bit of SIGHUP in the mask of the signals that a process handles. */
const SIGHUP_BIT = 1n;

/**
 * Waits until a process handles SIGHUP itself. Before, the signal meets the
 * start of the runtime, which it ends.
 */
export function awaitSignalHandlers(pid: number | undefined): Promise<void> {
  return waitUntil("signals are handled", {
    timeoutMs: TIMEOUT_MS,
    intervalMs: POLL_MS,
    check: async () => {
      const status = await readFile(`/proc/${pid}/status`, "utf8");
      const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
      return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
    },
  });
}

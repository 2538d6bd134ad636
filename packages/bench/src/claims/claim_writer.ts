import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** What one writer process does. */
export interface WriterOrder {
  readonly index: number;
  readonly logUrl: string;
  readonly partitionCount: number;
  readonly appendsPerSecond: number;
  readonly callsPerSecond: number;
  /** Every so many calls, the key is one that all writers use. */
  readonly sharedEvery: number;
  /** Unix time. */
  readonly startAtMs: number;
  readonly durationMs: number;
}

/** What one writer process saw. */
export interface WriterReport {
  /** Of granted claims. */
  readonly latenciesMs: number[];
  /** Keys granted. */
  readonly granted: string[];
  replayedCount: number;
  /** Start of each call refused as not run, Unix time. */
  readonly refusedAtMs: number[];
  readonly otherFailures: Record<string, number>;
}

const MAIN = fileURLToPath(new URL("claim_writer_main.js", import.meta.url));

/** Runs one writer process to its end. */
export function runClaimWriter(order: WriterOrder): Promise<WriterReport> {
  const child = spawn(process.execPath, [MAIN, JSON.stringify(order)], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const chunks: Buffer[] = [];
  child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("close", (code) => {
      const text = Buffer.concat(chunks).toString("utf8");
      if (code === 0) resolve(JSON.parse(text) as WriterReport);
      else reject(new Error(`Claim writer ended with ${code}`));
    });
  });
}

import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Options of one writer process. */
export interface WriterOptions {
  readonly index: number;
  readonly logUrl: string;
  readonly partitionCount: number;
  readonly appendsPerSecond: number;
  readonly callsPerSecond: number;
  /** One call in this many uses a key that all writers share. */
  readonly sharedEvery: number;
  /** Unix time. */
  readonly startAtMs: number;
  readonly durationMs: number;
}

/** Results of one writer process. */
export interface WriterReport {
  /** Latencies of granted claims. */
  readonly latenciesMs: number[];
  /** Keys granted. */
  readonly granted: string[];
  replayedCount: number;
  /** Start of each call that was refused as not run, Unix time. */
  readonly refusedAtMs: number[];
  readonly otherFailures: Record<string, number>;
}

const WRITER_SCRIPT = fileURLToPath(
  new URL("claim_writer_main.js", import.meta.url),
);

/** Runs one writer process to its end; rejects if it fails. */
export function runClaimWriter(options: WriterOptions): Promise<WriterReport> {
  const child = spawn(process.execPath, [
    WRITER_SCRIPT,
    JSON.stringify(options),
  ], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const outputChunks: Buffer[] = [];
  child.stdout.on("data", (chunk: Buffer) => outputChunks.push(chunk));
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("close", (code) => {
      const text = Buffer.concat(outputChunks).toString("utf8");
      if (code === 0) resolve(JSON.parse(text) as WriterReport);
      else reject(new Error(`Claim writer exited with code ${code}`));
    });
  });
}

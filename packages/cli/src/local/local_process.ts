import { type ChildProcess, spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** A process of a local cluster. */
export interface LocalProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Latest part of its standard error output. */
  readonly stderr: () => string;
  /**
   * Sends a signal, SIGTERM by default, and waits for the exit. Returns the exit
   * code, or null after a signal. A signal that does not end the process leaves
   * the promise pending.
   */
  readonly stop: (signal?: NodeJS.Signals) => Promise<number | null>;
}

/** Options of a local process. */
export interface LocalProcessOptions {
  readonly name: string;
  readonly program: "celerytray" | "celerytray-fake";
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

const MAIN_BY_PROGRAM = {
  "celerytray": fileURLToPath(new URL("../main.js", import.meta.url)),
  "celerytray-fake": fileURLToPath(
    new URL("main.js", import.meta.resolve("@celerytray/fakes")),
  ),
};
const MAX_STDERR_LENGTH = 64 * 1024;

export function startLocalProcess(options: LocalProcessOptions): LocalProcess {
  const main = MAIN_BY_PROGRAM[options.program];
  const child = spawn(process.execPath, [main, ...options.args], {
    env: { PATH: process.env.PATH, ...options.environment },
    stdio: ["ignore", "ignore", "pipe"],
  });
  let stderr = "";
  child.stderr!.setEncoding("utf8");
  child.stderr!.on("data", (text: string) => {
    stderr = (stderr + text).slice(-MAX_STDERR_LENGTH);
  });
  const exited = new Promise<number | null>((resolve) =>
    child.once("exit", (code) => resolve(code))
  );
  return {
    name: options.name,
    child,
    stderr: () => stderr,
    stop: (signal = "SIGTERM") => {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill(signal);
      }
      return exited;
    },
  };
}

import { type ChildProcess, spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** A process of a local cluster. */
export interface LocalProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** What it wrote to its error output. */
  readonly errors: () => string;
  /** Sends a signal and waits for the end, unless the signal does not end it. */
  readonly stop: (signal?: NodeJS.Signals) => Promise<number | null>;
}

/** Which program a process runs. */
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
const MAX_ERROR_TEXT = 64 * 1024;

/** Starts one process. */
export function startLocalProcess(options: LocalProcessOptions): LocalProcess {
  const main = MAIN_BY_PROGRAM[options.program];
  const child = spawn(process.execPath, [main, ...options.args], {
    env: { PATH: process.env.PATH, ...options.environment },
    stdio: ["ignore", "ignore", "pipe"],
  });
  let errors = "";
  child.stderr!.setEncoding("utf8");
  child.stderr!.on("data", (text: string) => {
    errors = (errors + text).slice(-MAX_ERROR_TEXT);
  });
  const ended = new Promise<number | null>((resolve) =>
    child.once("exit", (code) => resolve(code))
  );
  return {
    name: options.name,
    child,
    errors: () => errors,
    stop: (signal = "SIGTERM") => {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill(signal);
      }
      return ended;
    },
  };
}

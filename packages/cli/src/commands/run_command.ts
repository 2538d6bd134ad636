import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const MAIN = fileURLToPath(new URL("../main.js", import.meta.url));

/** Runs the command line in a child process. */
export function runCommand(
  args: readonly string[],
  environment: Readonly<Record<string, string>>,
): Promise<CommandResult> {
  const child = spawn(process.execPath, [MAIN, ...args], {
    env: { PATH: process.env.PATH, ...environment },
    stdio: ["ignore", "pipe", "pipe"],
  });
  let stdout = "";
  let stderr = "";
  child.stdout.setEncoding("utf8").on("data", (text) => stdout += text);
  child.stderr.setEncoding("utf8").on("data", (text) => stderr += text);
  return new Promise((resolve) =>
    child.once("close", (exitCode) => resolve({ exitCode, stdout, stderr }))
  );
}

import { expect } from "earl";
import { execFile } from "node:child_process";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { DEMO_FOLDER } from "./demo_config.ts";

const MAIN = fileURLToPath(new URL("../main.js", import.meta.url));

interface BadFolder {
  readonly title: string;
  readonly text: string;
  readonly expected: string;
}

const BAD_FOLDERS: readonly BadFolder[] = [
  {
    title: "an unknown field",
    text: "services: {drafter: {replicaCout: 3}}",
    expected:
      "95-bad.yaml: services.drafter.replicaCout: unknown field; remove it or correct its spelling",
  },
  {
    title: "a wrong unit",
    text: "services: {drafter: {idleTimeoutMs: 3s}}",
    expected:
      "95-bad.yaml: services.drafter.idleTimeoutMs: must be integer; correct the value",
  },
  {
    title: "a duplicate name",
    text: "services:\n  drafter: {}\n  drafter: {}\n",
    expected:
      "95-bad.yaml: Map keys must be unique at line 3, column 3; correct the file",
  },
  {
    title: "a reference to an unknown service",
    text: "organisations: {patan-furniture: {services: [drafer]}}",
    expected:
      "95-bad.yaml: organisations.patan-furniture.services: no service is named drafer; declare it under services",
  },
];

describe("bad input on the command line", () => {
  for (const { title, text, expected } of BAD_FOLDERS) {
    it(`names the file, the field and the fix for ${title}`, async () => {
      const folder = await mkdtemp(join(tmpdir(), "celerytray-"));
      await cp(DEMO_FOLDER, folder, { recursive: true });
      await writeFile(join(folder, "95-bad.yaml"), text);
      const result = await runCli(["config", "check", folder]);
      await rm(folder, { recursive: true });
      expect(result).toEqual({ code: 1, errors: `${expected}\n` });
    });
  }

  it("names a file that is not valid YAML", async () => {
    const folder = await mkdtemp(join(tmpdir(), "celerytray-"));
    await writeFile(join(folder, "10-bad.yaml"), "services: [");
    const result = await runCli(["config", "check", folder]);
    await rm(folder, { recursive: true });
    expect(result.code).toEqual(1);
    expect(result.errors.startsWith("10-bad.yaml: ")).toEqual(true);
  });

  it("lists every missing setting with its flag and variable", async () => {
    const result = await runCli(["serve"]);
    expect(result.code).toEqual(2);
    expect(result.errors).toInclude(
      "--log-url (or CELERYTRAY_LOG_URL): missing field; add it",
    );
    expect(result.errors.split("\n").length - 1).toEqual(6);
  });

  it("names the environment variable of a missing secret", async () => {
    const result = await runCli([
      "serve",
      "--instance-id=a",
      "--availability-zone=a",
      "--listen-address=127.0.0.1:0",
      "--admin-address=127.0.0.1:0",
      "--log-url=http://127.0.0.1:1",
      "--instance-list-url=http://127.0.0.1:1",
    ]);
    expect(result.code).toEqual(2);
    expect(result.errors).toInclude("CELERYTRAY_OPERATOR_TOKEN");
  });

  it("names the address at which no entry instance answers", async () => {
    const result = await runCli(["status", "--address=127.0.0.1:1"], {
      CELERYTRAY_TOKEN: "some-token-of-nobody",
    });
    expect(result.code).toEqual(1);
    expect(result.errors).toInclude("No entry instance answers on 127.0.0.1:1");
  });

  it("rejects a setting that is not a number", async () => {
    const result = await runCli(["serve", "--status-interval-ms=1s"]);
    expect(result.errors).toInclude(
      "--status-interval-ms (or CELERYTRAY_STATUS_INTERVAL_MS): must be integer",
    );
  });
});

interface CliResult {
  readonly code: number;
  readonly errors: string;
}

function runCli(
  args: readonly string[],
  variables: Readonly<Record<string, string>> = {},
): Promise<CliResult> {
  const environment = { PATH: process.env.PATH, NO_COLOR: "1", ...variables };
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [MAIN, ...args],
      { env: environment },
      (error, _output, errors) =>
        resolve({ code: error === null ? 0 : Number(error.code), errors }),
    );
  });
}

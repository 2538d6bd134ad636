/**
 * Runs the build line of `deploy/system.toml` in a clean checkout and an empty
 * environment, as an ordinary user.
 *
 * Needs `git` and `strace`.
 */
import { expect } from "earl";
import { execFile } from "node:child_process";
import {
  chmod,
  cp,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { after, before, describe, it } from "node:test";
import { root } from "./list_sources.js";

const BUNDLE = "target/celerytray_host.mjs";
const BUILD_TIMEOUT_MS = 240_000;
const OUTPUT_BYTES = 64 * 1024 * 1024;
/** A user without rights of its own, for runs that root starts. */
const NOBODY_ID = 65_534;
const IS_ROOT = process.getuid() === 0;
const EMPTY_ENVIRONMENT = { PATH: "/usr/bin:/bin" };
let folder;
let clean;
let cleanRun;

before(async () => {
  folder = await mkdtemp(join(tmpdir(), "clean-build-"));
  await chmod(folder, 0o755);
  clean = await checkOut("clean");
  cleanRun = await runBuild(clean);
}, { timeout: BUILD_TIMEOUT_MS });

after(async () => {
  if (folder !== undefined) await rm(folder, { recursive: true, force: true });
});

describe("the build line in a clean checkout", () => {
  it("succeeds without root and makes the program", async () => {
    expect({ code: cleanRun.code, output: cleanRun.output }).toEqual({
      code: 0,
      output: "",
    });
    expect(await readdir(join(clean.path, "target"))).toEqual([
      "celerytray_host.mjs",
    ]);
  });

  it("writes to its checkout and its home only", () => {
    expect(cleanRun.writtenFiles.length).not.toEqual(0);
    expect(cleanRun.writtenFiles.filter((path) => !isOwnPath(path))).toEqual(
      [],
    );
  });

  it("leaves the checkout as it was but for what git ignores", async () => {
    const changed = await run("git", [
      ...["-c", `safe.directory=${clean.path}`],
      ...["status", "--porcelain"],
    ], { cwd: clean.path });
    expect(changed.output).toEqual("");
  });

  it("connects to nothing once the packages are installed", async () => {
    const again = await runBuild(clean);
    expect(again.code).toEqual(0);
    expect(cleanRun.connectionCount).not.toEqual(0);
    expect(again.connectionCount).toEqual(0);
  });

  it("makes a program that needs no file beside it", async () => {
    const alone = join(folder, "alone.mjs");
    await cp(join(clean.path, BUNDLE), alone);
    const started = await run("/usr/bin/node", [alone], { cwd: folder });
    expect(started.code).toEqual(2);
    expect(started.output).toInclude("is not set; give the settings file");
  });
});

describe("the bundle", () => {
  it("comes from the sources, whatever the compiled files hold", async () => {
    const copy = await checkOutInstalled("stale");
    await writeStaleFiles(copy);
    const stale = await runBuild(copy);
    expect(stale.code).toEqual(0);
    expect(await readBundle(copy)).toEqual(await readBundle(clean));
  });

  it("fails where a package isn't mapped to its sources", async () => {
    const copy = await checkOutInstalled("unmapped");
    await unmapSchema(copy);
    const missing = await runBuild(copy);
    expect(missing.code).not.toEqual(0);
    expect(missing.output).toInclude('Could not resolve "@celerytray/schema"');
    await writeStaleFiles(copy);
    const stale = await runBuild(copy);
    expect(stale.code).not.toEqual(0);
    expect(stale.output).toInclude("the bundle would hold compiled files");
    expect(await readdir(copy.path)).not.toInclude("target");
  });
});

/** A checkout of what is committed, with an empty home of its own. */
async function checkOut(name) {
  const checkout = {
    path: join(folder, name),
    home: join(folder, `${name}-home`),
    traces: join(folder, `${name}-traces`),
  };
  const clone = ["clone", "--quiet", "--no-hardlinks", root, checkout.path];
  const cloned = await run("git", clone, { cwd: root });
  expect(cloned.output).toEqual("");
  await mkdir(checkout.home);
  await handOver(checkout);
  return checkout;
}

/** Another checkout, with the packages that the first one has installed. */
async function checkOutInstalled(name) {
  const checkout = await checkOut(name);
  await cp(
    join(clean.path, "node_modules"),
    join(checkout.path, "node_modules"),
    { recursive: true, verbatimSymlinks: true },
  );
  await handOver(checkout);
  return checkout;
}

/** Runs the build line and tells which files it wrote. */
async function runBuild(checkout) {
  const { build } = await readDeployFile(checkout.path);
  await rm(checkout.traces, { recursive: true, force: true });
  await mkdir(checkout.traces);
  await handOver(checkout);
  const traced = await run("strace", [
    ...["--follow-forks", "--output-separately", "--quiet=all"],
    "--trace=open,openat,execve,connect",
    `--output=${join(checkout.traces, "trace")}`,
    ...["sh", "-c", build],
  ], {
    cwd: checkout.path,
    env: { ...EMPTY_ENVIRONMENT, HOME: checkout.home },
    ...(IS_ROOT ? { uid: NOBODY_ID, gid: NOBODY_ID } : {}),
  });
  return { ...traced, ...(await readTraces(checkout)) };
}

async function handOver({ path, home, traces }) {
  if (!IS_ROOT) return;
  const owner = `${NOBODY_ID}:${NOBODY_ID}`;
  const folders = [path, home, traces];
  await run("chown", ["--recursive", "--quiet", owner, ...folders], {
    cwd: folder,
  });
}

async function readTraces({ path, traces }) {
  const written = new Set();
  let connectionCount = 0;
  for (const name of await readdir(traces)) {
    const text = await readFile(join(traces, name), "utf8");
    for (const call of text.split("\n")) {
      if (/^connect\(.*AF_INET/.test(call)) connectionCount += 1;
      if (/ = -1 E/.test(call)) continue;
      const named = /^(?:open|execve)(?:at)?\((?:AT_FDCWD, )?"([^"]+)"/
        .exec(call)?.[1];
      if (named === undefined || call.includes("O_DIRECTORY")) continue;
      const file = resolve(path, named);
      if (/O_WRONLY|O_RDWR|O_CREAT/.test(call)) written.add(file);
    }
  }
  return { writtenFiles: [...written], connectionCount };
}

function isOwnPath(path) {
  return path.startsWith(`${folder}/`) || path === "/dev/null" ||
    path === "/dev/tty";
}

async function readDeployFile(path) {
  const text = await readFile(join(path, "deploy/system.toml"), "utf8");
  const build = /^build = "(.*)"$/m.exec(text)[1];
  return { build };
}

function readBundle({ path }) {
  return readFile(join(path, BUNDLE), "utf8");
}

/** A compiled file of a package as an earlier build may have left it. */
async function writeStaleFiles(checkout) {
  const compiled = join(checkout.path, "packages/schema/dist");
  await mkdir(compiled, { recursive: true });
  await writeFile(
    join(compiled, "index.js"),
    'globalThis.isOutOfDate = true;\nexport * from "../src/index.ts";\n',
  );
  await handOver(checkout);
}

async function unmapSchema({ path }) {
  const script = join(path, "scripts/bundle.js");
  const text = await readFile(script, "utf8");
  const unmapped = text.replace(
    "alias: await mapExportsToSources()",
    `alias: Object.fromEntries(
      Object.entries(await mapExportsToSources()).filter(([name]) =>
        name !== "@celerytray/schema"
      ),
    )`,
  );
  expect(unmapped).not.toEqual(text);
  await writeFile(script, unmapped);
}

/** Exit code and all output of a program; fails if it can't be started. */
function run(program, parameters, options) {
  return new Promise((succeed, fail) => {
    const limits = { timeout: BUILD_TIMEOUT_MS, maxBuffer: OUTPUT_BYTES };
    execFile(
      program,
      parameters,
      { env: process.env, ...limits, ...options },
      (error, stdout, stderr) => {
        if (typeof error?.code === "string") {
          fail(
            new Error(
              `${program}: ${error.message}; install the package ${program}`,
            ),
          );
          return;
        }
        succeed({ code: error?.code ?? 0, output: `${stdout}${stderr}` });
      },
    );
  });
}

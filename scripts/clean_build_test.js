/**
 * Runs the build command of `deploy/system.toml` in a clean checkout, with an
 * empty environment and without root. Compares the system files that it opens
 * with the packages that the deploy file lists.
 *
 * Needs Debian's `dpkg`, `git` and `strace`.
 */
import { expect } from "earl";
import { execFile } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, realpathSync, statSync } from "node:fs";
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
import { promisify } from "node:util";
import { root } from "./list_sources.js";

const BUNDLE = "target/celerytray_host.mjs";
const BUILD_TIMEOUT_MS = 240_000;
const SIGNAL_EXIT_CODE = -1;
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;
/** Unprivileged user, for runs that root starts. */
const NOBODY_ID = 65_534;
const IS_ROOT = process.getuid() === 0;
const EMPTY_ENVIRONMENT = { PATH: "/usr/bin:/bin" };
const DEVELOPMENT_TOOLS = [
  "deno",
  "earl",
  "fast-check",
  "json-schema-to-typescript",
];
/** Files that belong to no package: kernel files and machine settings. */
const MACHINE_FILES =
  /^\/(proc|sys|dev|run)\/|^\/usr\/etc\/npmrc$|^\/etc\/(hosts|host\.conf|resolv\.conf|nsswitch\.conf|passwd|group|gai\.conf|ld\.so\.cache|npmrc)$/;
/**
 * Folders whose files dpkg does not list, as they are generated on installation
 * or belong to an npm newer than the packaged one.
 */
const UNLISTED_FOLDERS = [
  { prefix: "/etc/ssl/certs/", packageName: "ca-certificates" },
  { prefix: "/usr/lib/node_modules/npm/", packageName: "nodejs" },
];

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

describe("the build command in a clean checkout", () => {
  it("succeeds without root and creates the program", async () => {
    expect({ code: cleanRun.code, output: cleanRun.output }).toEqual({
      code: 0,
      output: "",
    });
    expect(await readdir(join(clean.path, "target"))).toEqual([
      "celerytray_host.mjs",
    ]);
  });

  it("opens only system files of the listed packages", async () => {
    const { packages } = await readDeployFile(clean.path);
    expect(cleanRun.systemFiles.length).not.toEqual(0);
    expect(await findUnlisted(cleanRun.systemFiles, packages)).toEqual([]);
  });

  it("writes only to its checkout and its home folder", () => {
    expect(cleanRun.writtenFiles.length).not.toEqual(0);
    expect(cleanRun.writtenFiles.filter((path) => !isOwnPath(path))).toEqual(
      [],
    );
  });

  it("changes only files that git ignores in the checkout", async () => {
    const changed = await run("git", [
      ...["-c", `safe.directory=${clean.path}`],
      ...["status", "--porcelain"],
    ], { cwd: clean.path });
    expect(changed.output).toEqual("");
  });

  it("installs no development tools", async () => {
    const installed = await readdir(join(clean.path, "node_modules"));
    expect(
      DEVELOPMENT_TOOLS.filter((name) => installed.includes(name)),
    ).toEqual([]);
  });

  it("opens no connection once the packages are installed", async () => {
    const again = await runBuild(clean);
    expect(again.code).toEqual(0);
    expect(cleanRun.connectionCount).not.toEqual(0);
    expect(again.connectionCount).toEqual(0);
  });

  // Guards against logs that can't tell which build a process ran.
  it("names the build by the commit and the hash of the program", async () => {
    const text = await readFile(join(clean.path, BUNDLE), "utf8");
    const { stdout } = await promisify(execFile)(
      "git",
      ["-c", `safe.directory=${clean.path}`, "rev-parse", "HEAD"],
      { cwd: clean.path },
    );
    const [build, hash] = /"[0-9a-f]{7}-([0-9a-f]{12})"/.exec(text);
    expect(build).toEqual(`"${stdout.slice(0, 7)}-${hash}"`);
    const unnamed = text.replace(build, '"@@celerytray-build@@"');
    expect(createHash("sha256").update(unnamed).digest("hex").slice(0, 12))
      .toEqual(hash);
  });

  it("creates a program that needs no other file", async () => {
    const alone = join(folder, "alone.mjs");
    await cp(join(clean.path, BUNDLE), alone);
    const started = await run("/usr/bin/node", [alone], { cwd: folder });
    expect(started.code).toEqual(2);
    expect(started.output).toInclude("is not set; give the settings file");
  });
});

describe("the package check", () => {
  it("names a package that the build uses but the list omits", async () => {
    const { packages } = await readDeployFile(clean.path);
    const incompletePackages = packages.filter((name) => name !== "nodejs");
    expect(packages).toInclude("nodejs");
    expect(await findUnlisted(cleanRun.systemFiles, incompletePackages))
      .toEqual([
        "nodejs",
      ]);
  });

  it("names the package of a tool that the build command runs", async () => {
    const copy = await checkOutInstalled("tool");
    const { build, packages } = await readDeployFile(copy.path);
    const traced = await runBuild(copy, `${build} && git --version`);
    expect(traced.code).toEqual(0);
    expect(await findUnlisted(traced.systemFiles, packages)).toInclude("git");
  });

  it("names a file that belongs to no package", async () => {
    const { packages } = await readDeployFile(clean.path);
    const files = [...cleanRun.systemFiles, "/usr/local/lib/libmade.so"];
    expect(await findUnlisted(files, packages)).toEqual([
      "/usr/local/lib/libmade.so",
    ]);
  });
});

describe("the bundle", () => {
  it("is built from the sources even if compiled files are stale", async () => {
    const copy = await checkOutInstalled("stale");
    await writeStaleFiles(copy);
    const stale = await runBuild(copy);
    expect(stale.code).toEqual(0);
    expect(await readBundle(copy)).toEqual(await readBundle(clean));
  });

  it("fails if a package is not mapped to its sources", async () => {
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

/** Creates a checkout of the committed files with its own empty home folder. */
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
  await changeOwner(checkout);
  return checkout;
}

/** Creates another checkout with the installed packages of the first one. */
async function checkOutInstalled(name) {
  const checkout = await checkOut(name);
  await cp(
    join(clean.path, "node_modules"),
    join(checkout.path, "node_modules"),
    { recursive: true, verbatimSymlinks: true },
  );
  await changeOwner(checkout);
  return checkout;
}

/**
 * Runs the build command, or another command line, and returns its result, the
 * files that it opened and the number of its connections.
 */
async function runBuild(checkout, line) {
  const { build } = await readDeployFile(checkout.path);
  await rm(checkout.traces, { recursive: true, force: true });
  await mkdir(checkout.traces);
  await changeOwner(checkout);
  const traced = await run("strace", [
    ...["--follow-forks", "--output-separately", "--quiet=all"],
    "--trace=open,openat,execve,connect",
    `--output=${join(checkout.traces, "trace")}`,
    ...["sh", "-c", line ?? build],
  ], {
    cwd: checkout.path,
    env: { ...EMPTY_ENVIRONMENT, HOME: checkout.home },
    ...(IS_ROOT ? { uid: NOBODY_ID, gid: NOBODY_ID } : {}),
  });
  return { ...traced, ...(await readTraces(checkout)) };
}

async function changeOwner({ path, home, traces }) {
  if (!IS_ROOT) return;
  const owner = `${NOBODY_ID}:${NOBODY_ID}`;
  const folders = [path, home, traces];
  await run("chown", ["--recursive", "--quiet", owner, ...folders], {
    cwd: folder,
  });
}

async function readTraces({ path, traces }) {
  const opened = new Set();
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
      opened.add(file);
      if (/O_WRONLY|O_RDWR|O_CREAT/.test(call)) written.add(file);
    }
  }
  const systemFiles = [...opened].filter((file) =>
    !isOwnPath(file) && !MACHINE_FILES.test(file) && !isFolder(file)
  );
  return { systemFiles, writtenFiles: [...written], connectionCount };
}

function isFolder(path) {
  return statSync(path, { throwIfNoEntry: false })?.isDirectory() ?? false;
}

function isOwnPath(path) {
  return path.startsWith(`${folder}/`) || path === "/dev/null" ||
    path === "/dev/tty";
}

/** Lists the packages of files that `packages` omits, and files without a package. */
async function findUnlisted(files, packages) {
  const owners = await findOwners(files);
  const used = new Set(files.map((file) => owners.get(file) ?? file));
  const essential = await listEssentialPackages();
  return [...used].filter((name) =>
    !packages.includes(name) && !essential.includes(name)
  ).sort();
}

/** Maps each file that belongs to a package to the name of the package. */
async function findOwners(files) {
  const lookupPaths = files.flatMap((file) =>
    listLookupPaths(file).map((lookupPath) => ({ file, lookupPath }))
  );
  const { output } = await run(
    "dpkg-query",
    ["--search", ...new Set(lookupPaths.map(({ lookupPath }) => lookupPath))],
    { cwd: folder },
  );
  const owners = new Map(
    [...output.matchAll(/^([^:\s]+)(?::\S+)?: (\/.*)$/gm)].map(
      ([, packageName, lookupPath]) => [lookupPath, packageName],
    ),
  );
  for (const { file, lookupPath } of lookupPaths) {
    const owner = owners.get(lookupPath) ?? findFolderOwner(file);
    if (owner !== undefined) owners.set(file, owner);
  }
  return owners;
}

/** Paths under which dpkg may list a file, as parts of its path may be symlinks. */
function listLookupPaths(file) {
  const paths = [file, existsSync(file) ? realpathSync(file) : file];
  return paths.flatMap((path) => [
    path,
    path.startsWith("/usr/") ? path.slice("/usr".length) : `/usr${path}`,
  ]);
}

function findFolderOwner(file) {
  return UNLISTED_FOLDERS.find(({ prefix }) => file.startsWith(prefix))
    ?.packageName;
}

async function listEssentialPackages() {
  const format = "--showformat=${Essential} ${Package}\n";
  const { output } = await run("dpkg-query", ["--show", format], {
    cwd: folder,
  });
  return [...output.matchAll(/^yes (.+)$/gm)].map(([, name]) => name);
}

async function readDeployFile(path) {
  const text = await readFile(join(path, "deploy/system.toml"), "utf8");
  const build = /^build = "(.*)"$/m.exec(text)[1];
  const list = /^packages = \[(.*)\]$/m.exec(text)?.[1] ?? "";
  const packages = [...list.matchAll(/"([^"]+)"/g)].map(([, name]) => name);
  return { build, packages };
}

function readBundle({ path }) {
  return readFile(join(path, BUNDLE), "utf8");
}

/** Writes a stale compiled file of a package, as an earlier build may leave it. */
async function writeStaleFiles(checkout) {
  const compiled = join(checkout.path, "packages/schema/dist");
  await mkdir(compiled, { recursive: true });
  await writeFile(
    join(compiled, "index.js"),
    'globalThis.isOutOfDate = true;\nexport * from "../src/index.ts";\n',
  );
  await changeOwner(checkout);
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

/** Returns a program's exit code and its output; fails if it cannot be started. */
function run(program, parameters, options) {
  return new Promise((succeed, fail) => {
    const limits = { timeout: BUILD_TIMEOUT_MS, maxBuffer: MAX_OUTPUT_BYTES };
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
        // A program that was ended by a signal has no exit code.
        const code = error === null ? 0 : error.code ?? SIGNAL_EXIT_CODE;
        succeed({ code, output: `${stdout}${stderr}` });
      },
    );
  });
}

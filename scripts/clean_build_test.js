/**
 * Runs the build line of `deploy/system.toml` in a clean checkout and an empty
 * environment, as an ordinary user, and compares the system files that it
 * opens with the packages that the deploy file lists.
 *
 * Needs Debian's `dpkg`, `git` and `strace`.
 */
import { expect } from "earl";
import { execFile } from "node:child_process";
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
import { root } from "./list_sources.js";

const BUNDLE = "target/celerytray_host.mjs";
const BUILD_TIMEOUT_MS = 240_000;
const SIGNALLED = -1;
const OUTPUT_BYTES = 64 * 1024 * 1024;
/** A user without rights of its own, for runs that root starts. */
const NOBODY_ID = 65_534;
const IS_ROOT = process.getuid() === 0;
const EMPTY_ENVIRONMENT = { PATH: "/usr/bin:/bin" };
const DEVELOPMENT_TOOLS = [
  "deno",
  "earl",
  "fast-check",
  "json-schema-to-typescript",
];
/** Not files of packages: the kernel's, and the settings of the machine. */
const MACHINE_FILES =
  /^\/(proc|sys|dev|run)\/|^\/usr\/etc\/npmrc$|^\/etc\/(hosts|host\.conf|resolv\.conf|nsswitch\.conf|passwd|group|gai\.conf|ld\.so\.cache|npmrc)$/;
/** Files that dpkg doesn't list: made on installation, or npm newer than it. */
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

  it("uses files of the listed packages only", async () => {
    const { packages } = await readDeployFile(clean.path);
    expect(cleanRun.systemFiles.length).not.toEqual(0);
    expect(await findUnlisted(cleanRun.systemFiles, packages)).toEqual([]);
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

  it("installs no development tools", async () => {
    const installed = await readdir(join(clean.path, "node_modules"));
    expect(
      DEVELOPMENT_TOOLS.filter((name) => installed.includes(name)),
    ).toEqual([]);
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

describe("the check of the build", () => {
  it("names a package that the build uses and the list lacks", async () => {
    const { packages } = await readDeployFile(clean.path);
    const shorter = packages.filter((name) => name !== "nodejs");
    expect(packages).toInclude("nodejs");
    expect(await findUnlisted(cleanRun.systemFiles, shorter)).toEqual([
      "nodejs",
    ]);
  });

  it("names the package of a tool that the build line starts", async () => {
    const copy = await checkOutInstalled("tool");
    const { build, packages } = await readDeployFile(copy.path);
    const traced = await runBuild(copy, `${build} && git --version`);
    expect(traced.code).toEqual(0);
    expect(await findUnlisted(traced.systemFiles, packages)).toInclude("git");
  });

  it("names a file that no package holds", async () => {
    const { packages } = await readDeployFile(clean.path);
    const files = [...cleanRun.systemFiles, "/usr/local/lib/libmade.so"];
    expect(await findUnlisted(files, packages)).toEqual([
      "/usr/local/lib/libmade.so",
    ]);
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

/** Runs the build line and tells which files it opened. */
async function runBuild(checkout, line) {
  const { build } = await readDeployFile(checkout.path);
  await rm(checkout.traces, { recursive: true, force: true });
  await mkdir(checkout.traces);
  await handOver(checkout);
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

async function handOver({ path, home, traces }) {
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

/** Packages and files without a package that `packages` doesn't cover. */
async function findUnlisted(files, packages) {
  const owners = await findOwners(files);
  const used = new Set(files.map((file) => owners.get(file) ?? file));
  const essential = await listEssentialPackages();
  return [...used].filter((name) =>
    !packages.includes(name) && !essential.includes(name)
  ).sort();
}

/** The package of each file that a package holds. */
async function findOwners(files) {
  const places = files.flatMap((file) =>
    listPlaces(file).map((place) => ({ file, place }))
  );
  const { output } = await run(
    "dpkg-query",
    ["--search", ...new Set(places.map(({ place }) => place))],
    { cwd: folder },
  );
  const owners = new Map(
    [...output.matchAll(/^([^:\s]+)(?::\S+)?: (\/.*)$/gm)].map(
      ([, packageName, place]) => [place, packageName],
    ),
  );
  for (const { file, place } of places) {
    const owner = owners.get(place) ?? findFolderOwner(file);
    if (owner !== undefined) owners.set(file, owner);
  }
  return owners;
}

/** A file may be listed under the folder that a link of its path leads to. */
function listPlaces(file) {
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
        // A program that was ended by a signal has no code of its own.
        const code = error === null ? 0 : error.code ?? SIGNALLED;
        succeed({ code, output: `${stdout}${stderr}` });
      },
    );
  });
}

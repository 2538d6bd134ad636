/** Bundles the host program of a deployment into `target/`. */
import { build } from "esbuild";
import { createHash } from "node:crypto";
import { builtinModules } from "node:module";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { root } from "./list_sources.js";
import { mapExportsToSources } from "./map_exports_to_sources.js";

/** Stands for the build's id until the text is known, of which it is a hash. */
const BUILD_PLACEHOLDER = "@@celerytray-build@@";
const HASH_DIGITS = 12;
const COMPILED_FILE = /^packages\/[^/]+\/dist\//;

async function main() {
  const { metafile, outputFiles } = await build({
    absWorkingDir: root,
    entryPoints: ["packages/cli/src/host_main.ts"],
    outfile: "target/celerytray_host.mjs",
    alias: await mapExportsToSources(),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    plugins: [loadBuiltinsOnUse],
    legalComments: "none",
    define: { CELERYTRAY_BUILD: JSON.stringify(BUILD_PLACEHOLDER) },
    metafile: true,
    write: false,
    banner: {
      js:
        'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
  });
  failOnCompiledInputs(Object.keys(metafile.inputs));
  for (const { path, text } of outputFiles) {
    await mkdir(dirname(path), { recursive: true });
    const build = nameBuild(text, await readCommit());
    await writeFile(path, text.replaceAll(BUILD_PLACEHOLDER, build));
  }
}

/** Names the build by its commit, if that is known, and the hash of its text. */
function nameBuild(text, commit) {
  const hash = createHash("sha256").update(text).digest("hex")
    .slice(0, HASH_DIGITS);
  return commit === undefined ? hash : `${commit}-${hash}`;
}

/**
 * The commit that is checked out, as git's files name it; undefined outside a
 * checkout. The build needs no git.
 */
async function readCommit() {
  const head = await readGitFile("HEAD");
  const ref = /^ref: (.+)/.exec(head)?.[1];
  if (ref === undefined) return shorten(head);
  const packed = (await readGitFile("packed-refs")).split("\n")
    .find((line) => line.endsWith(` ${ref}`));
  return shorten(await readGitFile(ref)) ?? shorten(packed ?? "");
}

function shorten(text) {
  return /^[0-9a-f]{7}/.exec(text)?.[0];
}

/** Returns an empty text for a file that is not there. */
function readGitFile(path) {
  return readFile(join(root, ".git", path), "utf8").catch(() => "");
}

/**
 * Loads Node.js's modules where the program first uses them. Imported as usual,
 * all of them would be loaded before the program's first statement.
 */
const loadBuiltinsOnUse = {
  name: "load-builtins-on-use",
  setup({ onResolve, onLoad }) {
    const namespace = "builtin";
    onResolve({ filter: /.*/ }, ({ path, kind }) => {
      const isBuiltin = path.startsWith("node:") ||
        builtinModules.includes(path);
      return isBuiltin && kind === "import-statement"
        ? { path, namespace }
        : undefined;
    });
    onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `module.exports = require(${JSON.stringify(path)});`,
    }));
  },
};

/**
 * Fails if the bundle contains compiled files of the workspace, which may be
 * missing or out of date.
 */
function failOnCompiledInputs(inputs) {
  const compiled = inputs.filter((path) => COMPILED_FILE.test(path));
  if (compiled.length === 0) return;
  throw new Error(
    `the bundle would hold compiled files; import the sources instead of ${
      compiled.join(", ")
    }`,
  );
}

await main();

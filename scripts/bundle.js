/** Bundles the host program of a deployment into `target/`. */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { builtinModules } from "node:module";
import { mkdir, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
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
    await writeFile(path, text.replaceAll(BUILD_PLACEHOLDER, nameBuild(text)));
  }
}

/** Names the build by its commit, if that is known, and the hash of its text. */
function nameBuild(text) {
  const hash = createHash("sha256").update(text).digest("hex");
  return [readCommit(), hash.slice(0, HASH_DIGITS)].join("-").replace(/^-/, "");
}

/** Returns undefined without git or outside a checkout. */
function readCommit() {
  const { status, stdout } = spawnSync(
    "git",
    ["rev-parse", "--short=7", "HEAD"],
    { cwd: root, encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] },
  );
  return status === 0 ? stdout.trim() : undefined;
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

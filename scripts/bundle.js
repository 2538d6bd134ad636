/** Bundles the program of a deployment's machines into `target/`. */
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const library = `${root}packages/celerytray/src`;

await build({
  absWorkingDir: root,
  entryPoints: ["packages/cli/src/host_main.ts"],
  outfile: "target/celerytray_host.mjs",
  alias: {
    "celerytray/host": `${library}/host/index.ts`,
    "celerytray/journal": `${library}/journal/index.ts`,
    "celerytray/platform": `${library}/platform/index.ts`,
  },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  legalComments: "none",
  banner: {
    js:
      'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});

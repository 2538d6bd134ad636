import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { root } from "./list_sources.js";

/**
 * Maps each export of the workspace's packages (`@celerytray/schema`,
 * `celerytray/host`) to the path of its source module. Exports name compiled
 * files, which a clean checkout does not contain.
 */
export async function mapExportsToSources() {
  const folders = await readdir(join(root, "packages"));
  const maps = await Promise.all(folders.map(mapPackageExports));
  return Object.assign({}, ...maps);
}

async function mapPackageExports(folder) {
  const folderPath = join(root, "packages", folder);
  const text = await readFile(join(folderPath, "package.json"), "utf8");
  // A package that contains only programs has no exports.
  const { name, exports = {} } = JSON.parse(text);
  const paths = typeof exports === "string" ? { ".": exports } : exports;
  return Object.fromEntries(
    Object.entries(paths).map(([subpath, compiled]) => [
      join(name, subpath),
      join(folderPath, toSourcePath(compiled)),
    ]),
  );
}

function toSourcePath(compiledPath) {
  return compiledPath.replace(/^\.\/dist\//, "src/").replace(/\.js$/, ".ts");
}

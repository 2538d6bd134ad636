import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { root } from "./list_sources.js";

/**
 * What the packages of the workspace export (`@celerytray/schema`,
 * `celerytray/host`), each with the path of the module that it is compiled
 * from: exports name compiled files, which a clean checkout doesn't hold.
 */
export async function mapExportsToSources() {
  const folders = await readdir(join(root, "packages"));
  const maps = await Promise.all(folders.map(mapPackageExports));
  return Object.assign({}, ...maps);
}

async function mapPackageExports(folder) {
  const folderPath = join(root, "packages", folder);
  const text = await readFile(join(folderPath, "package.json"), "utf8");
  // A package of programs alone exports nothing.
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

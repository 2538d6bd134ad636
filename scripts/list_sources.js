import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Folder of the repository. */
export const root = fileURLToPath(new URL("..", import.meta.url));

/** The packages' modules that are neither tests nor built, from the root. */
export async function listSources() {
  const entries = await readdir(join(root, "packages"), { recursive: true });
  return entries.map((entry) => `packages/${entry}`).filter((file) =>
    file.endsWith(".ts") && !file.endsWith("_test.ts") &&
    !/node_modules|\/dist\//.test(file)
  );
}

import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Root folder of the repository. */
export const root = fileURLToPath(new URL("..", import.meta.url));

/** Lists the source modules of all packages, without tests, as paths from the root. */
export async function listSources() {
  const entries = await readdir(join(root, "packages"), { recursive: true });
  return entries.map((entry) => `packages/${entry}`).filter((file) =>
    file.endsWith(".ts") && !file.endsWith("_test.ts") &&
    !/node_modules|\/dist\//.test(file)
  );
}

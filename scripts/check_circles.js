/** Fails where modules import each other in a circle, types included. */
import { readFile } from "node:fs/promises";
import { dirname, join, normalize } from "node:path";
import { listSources, root } from "./list_sources.js";

const IMPORT = /^(?:import|export)\s[^;]*?from "(\.[^"]+)"/gms;

async function main() {
  const imports = new Map();
  for (const file of await listSources()) {
    const text = await readFile(join(root, file), "utf8");
    const targets = [...text.matchAll(IMPORT)].map(([, target]) =>
      normalize(join(dirname(file), target))
    );
    imports.set(file, targets);
  }
  const circle = findCircle(imports);
  if (circle === undefined) return;
  console.error(
    `Modules import each other; move what both need into a third:\n${
      circle.join("\n")
    }`,
  );
  process.exitCode = 1;
}

/** Modules of a circle, the first once more at the end. */
function findCircle(imports) {
  const done = new Set();
  const path = [];
  const visit = (file) => {
    const start = path.indexOf(file);
    if (start >= 0) return [...path.slice(start), file];
    if (done.has(file)) return undefined;
    path.push(file);
    for (const target of imports.get(file) ?? []) {
      const circle = visit(target);
      if (circle !== undefined) return circle;
    }
    path.pop();
    done.add(file);
    return undefined;
  };
  for (const file of imports.keys()) {
    const circle = visit(file);
    if (circle !== undefined) return circle;
  }
  return undefined;
}

await main();

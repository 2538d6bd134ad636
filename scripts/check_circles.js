/** Fails if modules import each other in a cycle, type imports included. */
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
  const cycle = findCycle(imports);
  if (cycle === undefined) return;
  console.error(
    `Circular import; move what the modules share into a separate one:\n${
      cycle.join("\n")
    }`,
  );
  process.exitCode = 1;
}

/** Returns the modules of a cycle, with the first repeated at the end. */
function findCycle(imports) {
  const visited = new Set();
  const path = [];
  const visit = (file) => {
    const start = path.indexOf(file);
    if (start >= 0) return [...path.slice(start), file];
    if (visited.has(file)) return undefined;
    path.push(file);
    for (const target of imports.get(file) ?? []) {
      const cycle = visit(target);
      if (cycle !== undefined) return cycle;
    }
    path.pop();
    visited.add(file);
    return undefined;
  };
  for (const file of imports.keys()) {
    const cycle = visit(file);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

await main();

/**
 * Fails if a file outside the folder `platform` uses terms of the platform's
 * protocols, or if that folder imports values from a module with decision logic.
 */
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { listSources, root } from "./list_sources.js";

const FOLDER = "packages/celerytray/src/platform/";
// Without last-event-id, which the server-sent events standard defines.
const PLATFORM_TERMS =
  /attempt-id|server-(leaving|stamp)|expect-instance|not-executed|prompt-prefix|token-count|x-api-key|deadline-ms|replica-load|at-server|keyed\.(op|servers)|log-(append|read|newest)|path_prefix|cold_remaining_ms|close_mode|api_keys/i;
/** Fakes that implement the platform's protocols. */
const PROTOCOL_FAKES = ["packages/fakes/src/platform/"];
/** Modules from which the folder may import values: ports, codecs and utilities. */
const ALLOWED_IMPORTS = ["../http/", "../keyed_log/", "../groups/index.ts"];
const IMPORT = /^import (type )?[^;]*?from "(\.\.[^"]+)"/gms;

async function main() {
  const problems = [];
  for (const file of await listSources()) {
    const text = await readFile(join(root, file), "utf8");
    if (file.startsWith(FOLDER)) problems.push(...checkImports(file, text));
    else if (!PROTOCOL_FAKES.some((folder) => file.startsWith(folder))) {
      problems.push(...checkTerms(file, text));
    }
  }
  if (problems.length === 0) return;
  console.error(problems.join("\n"));
  process.exitCode = 1;
}

function checkTerms(file, text) {
  return text.split("\n").flatMap((line, index) => {
    const term = PLATFORM_TERMS.exec(line)?.[0];
    return term === undefined ? [] : [
      `${file}:${
        index + 1
      }: ${term} is a platform term; move it into ${FOLDER}`,
    ];
  });
}

function checkImports(file, text) {
  return [...text.matchAll(IMPORT)].flatMap(([, isType, path]) =>
    isType !== undefined ||
      ALLOWED_IMPORTS.some((allowed) => path.startsWith(allowed))
      ? []
      : [
        `${file}: imports ${path}, which is not an allowed module; import types only`,
      ]
  );
}

await main();

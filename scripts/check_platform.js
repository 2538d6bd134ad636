/**
 * Fails where a file outside the folder `platform` uses the platform's words,
 * or where that folder imports a module that decides.
 */
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { listSources, root } from "./list_sources.js";

const FOLDER = "packages/celerytray/src/platform/";
// Not last-event-id, which server-sent events themselves define.
const WORDS =
  /attempt-id|server-(leaving|stamp)|expect-instance|not-executed|prompt-prefix|token-count|x-api-key|deadline-ms|replica-load|at-server|keyed\.(op|servers)|log-(append|read|newest)|path_prefix|cold_remaining_ms|close_mode|api_keys/i;
/** Stand-ins speak the platform's protocol as well. */
const SPEAKERS = ["packages/fakes/src/platform/"];
/** What the folder may import values from: ports, codecs and plumbing. */
const PORTS = ["../http/", "../keyed_log/", "../groups/index.ts"];
const IMPORT = /^import (type )?[^;]*?from "(\.\.[^"]+)"/gms;

async function main() {
  const problems = [];
  for (const file of await listSources()) {
    const text = await readFile(join(root, file), "utf8");
    if (file.startsWith(FOLDER)) problems.push(...findImports(file, text));
    else if (!SPEAKERS.some((folder) => file.startsWith(folder))) {
      problems.push(...findWords(file, text));
    }
  }
  if (problems.length === 0) return;
  console.error(problems.join("\n"));
  process.exitCode = 1;
}

function findWords(file, text) {
  return text.split("\n").flatMap((line, index) => {
    const word = WORDS.exec(line)?.[0];
    return word === undefined
      ? []
      : [`${file}:${index + 1}: ${word} belongs into ${FOLDER}`];
  });
}

function findImports(file, text) {
  return [...text.matchAll(IMPORT)].flatMap(([, isType, path]) =>
    isType !== undefined || PORTS.some((port) => path.startsWith(port))
      ? []
      : [`${file}: imports ${path}, which is not a port; import types only`]
  );
}

await main();

/**
 * Fails if the log events or metrics in docs/OPERATIONS.md differ from those
 * that the host program writes, or if no module writes an event that the schema
 * declares.
 */
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { listSources, root } from "./list_sources.js";

const PAGE = "docs/OPERATIONS.md";
/** Source folders of the host program; its entry point is in FILES. */
const FOLDERS = [
  "packages/celerytray/src/coordination/",
  "packages/celerytray/src/groups/",
  "packages/celerytray/src/host/",
  "packages/celerytray/src/journal/",
];
const FILES = ["packages/cli/src/run_host.ts"];
const EVENTS = "packages/schema/schemas/log_events.schema.json";
const METRIC = /celerytray_[a-z_]+/g;

async function main() {
  const { properties } = JSON.parse(
    await readFile(join(root, EVENTS), "utf8"),
  );
  const declared = Object.keys(properties);
  const topics = new Set(declared.map((name) => name.split(".")[0]));
  const written = { events: new Set(), metrics: new Set() };
  for (const file of (await listSources()).filter(isInProgram)) {
    const text = await readFile(join(root, file), "utf8");
    for (const name of declared) {
      if (text.includes(`"${name}"`)) written.events.add(name);
    }
    for (const [name] of text.matchAll(METRIC)) written.metrics.add(name);
  }
  const page = await readFile(join(root, PAGE), "utf8");
  const documented = {
    events: listTableNames(
      page,
      (name) => name.includes(".") && topics.has(name.split(".")[0]),
    ),
    metrics: listTableNames(page, (name) => name.startsWith("celerytray_")),
  };
  const unwritten = declared.filter((name) => !written.events.has(name))
    .map((name) => `${EVENTS}: remove ${name}; no module writes it`);
  const problems = ["events", "metrics"].flatMap((kind) => [
    ...[...written[kind]].filter((name) => !documented[kind].has(name))
      .map((name) => `${PAGE}: add ${name} to the table of ${kind}`),
    ...[...documented[kind]].filter((name) => !written[kind].has(name))
      .map((name) => `${PAGE}: remove ${name}; no module writes it`),
  ]).concat(unwritten);
  if (problems.length === 0) return;
  console.error(problems.join("\n"));
  process.exitCode = 1;
}

function isInProgram(file) {
  return FILES.includes(file) ||
    FOLDERS.some((folder) => file.startsWith(folder));
}

/**
 * Lists the names in the first column of tables. A name that begins with a dot
 * takes the topic of the name before it.
 */
function listTableNames(page, isIncluded) {
  const names = new Set();
  for (const line of page.split("\n")) {
    if (!line.startsWith("| `")) continue;
    let topic = "";
    for (const [, name] of line.split("|")[1].matchAll(/`([^`]+)`/g)) {
      if (!name.startsWith(".")) topic = name.split(".")[0];
      const whole = name.startsWith(".") ? `${topic}${name}` : name;
      if (isIncluded(whole)) names.add(whole);
    }
  }
  return names;
}

await main();

/**
 * Runs every compiled test whose source still exists. Only tests named in
 * KNOWN-RED.txt may fail; those that fail are printed. The tests of crowds, which
 * load the machine, run one file at a time after all others.
 */
import { access, readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const CONCURRENCY = 4;
const CROWD_SUFFIX = "_crowd_test.js";
const TEST_TIMEOUT_MS = 300_000;

async function main(filters) {
  const files = await findTests(filters);
  const knownFailures = await readKnownFailures();
  const isCrowd = (file) => file.endsWith(CROWD_SUFFIX);
  const results = [
    await runFiles(files.filter((file) => !isCrowd(file)), CONCURRENCY),
    await runFiles(files.filter(isCrowd), 1),
  ];
  report({
    failed: results.flatMap(({ failed }) => failed),
    knownFailures,
    passedCount: results.reduce((sum, { passed }) => sum + passed, 0),
  });
}

/** Runs test files; returns the names of failed tests and how many passed. */
async function runFiles(files, concurrency) {
  const failed = [];
  let passed = 0;
  if (files.length === 0) return { failed, passed };
  const stream = run({ files, concurrency, timeout: TEST_TIMEOUT_MS });
  stream.on("test:pass", (event) => {
    if (event.details.type !== "suite" && event.skip === undefined) {
      passed += 1;
    }
  });
  stream.on("test:fail", (event) => {
    if (!isParentOfFailed(event)) failed.push(event.name);
  });
  for await (const text of stream.compose(new spec())) {
    process.stdout.write(text);
  }
  return { failed, passed };
}

/** Whether a suite or file failed only because one of its tests failed. */
function isParentOfFailed(event) {
  return event.details.error?.failureType === "subtestsFailed";
}

function report({ failed, knownFailures, passedCount }) {
  const known = failed.filter((name) => knownFailures.includes(name));
  const failedCount = failed.length - known.length;
  for (const name of known) console.log(`known red: ${name}`);
  console.log(`${passedCount} passed, ${failedCount} failed`);
  if (failedCount > 0 || passedCount === 0) process.exitCode = 1;
}

async function findTests(filters) {
  const packages = await readdir(join(root, "packages"));
  const found = [];
  for (const name of packages) {
    const source = join(root, "packages", name, "src");
    const entries = await readdir(source, { recursive: true });
    for (const entry of entries.filter((path) => path.endsWith("_test.ts"))) {
      const compiled = entry.replace(/\.ts$/, ".js");
      const file = join(root, "packages", name, "dist", compiled);
      await access(file);
      if (filters.every((filter) => file.includes(filter))) found.push(file);
    }
  }
  return found.sort();
}

/** Reads the names from lines of the form `test: NAME`. */
async function readKnownFailures() {
  const text = await readFile(join(root, "KNOWN-RED.txt"), "utf8").catch(
    () => "",
  );
  return [...text.matchAll(/^test: (.+)$/gm)].map((match) => match[1].trim());
}

await main(process.argv.slice(2));

/** Fails if a relative link in a Markdown page points to a missing file. */
import { access, readdir, readFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const SKIPPED = /(^|\/)(node_modules|dist|\.git)(\/|$)/;

async function main() {
  const broken = [];
  for (const page of await findPages()) {
    const text = await readFile(join(root, page), "utf8");
    for (const [, target] of text.matchAll(/\]\(([^)\s]+)\)/g)) {
      if (/^[a-z]+:/.test(target) || target.startsWith("#")) continue;
      const path = join(root, dirname(page), target.split("#")[0]);
      const exists = await access(path).then(() => true, () => false);
      if (!exists) broken.push(`${page}: ${target}`);
    }
  }
  if (broken.length === 0) return;
  console.error(`Links to missing files:\n${broken.join("\n")}`);
  process.exitCode = 1;
}

async function findPages() {
  const names = ["README.md", "CONTRIBUTING.md", "docs", "packages"];
  const pages = [];
  for (const name of names) {
    if (name.endsWith(".md")) {
      pages.push(name);
      continue;
    }
    const entries = await readdir(join(root, name), { recursive: true });
    pages.push(
      ...entries.map((entry) => join(name, entry)).filter((path) =>
        path.endsWith(".md") && !SKIPPED.test(path)
      ),
    );
  }
  return pages;
}

await main();

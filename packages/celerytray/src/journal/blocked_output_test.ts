import { expect } from "earl";
import { spawn } from "node:child_process";
import { after, it } from "node:test";

const LINES = 150;
/** All lines together exceed what a pipe and the journal's buffer hold. */
const LINE_BYTES = 16 * 1024;
const stops: (() => void)[] = [];

after(() => {
  for (const stop of stops) stop();
});

it("does not block while its output is unread, and drops whole lines", async () => {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", createProgram()],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  stops.push(() => child.kill());
  // The output is not read before the program has written all lines.
  const done = await new Promise((resolve) =>
    child.stderr.once("data", resolve)
  );
  expect(String(done)).toEqual("written");
  const lines = (await readText(child.stdout)).trimEnd().split("\n");
  expect(lines.length > 0 && lines.length < LINES).toEqual(true);
  for (const line of lines) {
    const { event, text } = JSON.parse(line) as Record<string, string>;
    expect([event, text?.length]).toEqual(["store.lost", LINE_BYTES]);
  }
});

function createProgram(): string {
  const module = new URL("./journal.js", import.meta.url).href;
  return `
    import { Journal } from ${JSON.stringify(module)};
    const journal = new Journal({ process: "entry-1", nowMs: () => 0 });
    const text = "a".repeat(${LINE_BYTES});
    for (let index = 0; index < ${LINES}; index++) {
      journal.record("store.lost", { text });
    }
    process.stderr.write("written");
  `;
}

async function readText(stream: NodeJS.ReadableStream): Promise<string> {
  let text = "";
  for await (const chunk of stream) text += String(chunk);
  return text;
}

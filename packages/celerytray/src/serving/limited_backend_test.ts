import { expect } from "earl";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../platform/words.ts";
import { call, idOf, startBackend, startEntry } from "./test_entry.ts";

const PER_SECOND = 2;
const CALLS = 40;
const PAUSE_MS = 40;

// Guards against an instance that gets far more requests than its answers say
// that it takes from all machines together.
describe("an instance that names the requests a second that it takes", () => {
  it("gets no more, and the rest goes to others", async () => {
    const limited = await startLimited(String(PER_SECOND));
    const other = await startLimited(undefined);
    const port = await startEntry({
      backends: [limited.target, other.target],
    });
    const startedAtMs = performance.now();
    for (let index = 0; index < CALLS; index++) {
      expect((await call(port, "/safe/x")).status).toEqual(200);
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
    const seconds = (performance.now() - startedAtMs) / 1_000;
    expect(limited.arrivals.count <= 1 + 2 + PER_SECOND * seconds)
      .toEqual(true);
    expect(limited.arrivals.count > 1).toEqual(true);
  });

  it("is refused at once if it is the only one and its turn is too late", async () => {
    const limited = await startLimited("0.1");
    const port = await startEntry({ backends: [limited.target] });
    expect((await call(port, "/safe/x")).status).toEqual(200);
    const { status, headers } = await call(port, "/safe/x");
    expect(status).toEqual(503);
    expect(Number(headers["retry-after"]) > 0).toEqual(true);
    expect(limited.arrivals.count).toEqual(1);
  });

  for (const text of ["-1", "many", "1e3", ""]) {
    it(`is not limited by the header "${text}"`, async () => {
      const limited = await startLimited(text);
      const malformed: string[] = [];
      const port = await startEntry({
        backends: [limited.target],
        onMalformedHeaders: (_, message) => malformed.push(message),
      });
      for (let index = 0; index < 5; index++) {
        expect((await call(port, "/safe/x")).status).toEqual(200);
      }
      expect(malformed.length).toEqual(5);
    });
  }
});

async function startLimited(limit: string | undefined) {
  const arrivals = { count: 0 };
  const target = await startBackend((request, response) => {
    arrivals.count += 1;
    response.writeHead(200, {
      [HEADER_NAMES.callId]: idOf(request),
      [HEADER_NAMES.stamp]: "s",
      ...(limit === undefined ? {} : { [HEADER_NAMES.limit]: limit }),
    }).end("done");
  });
  return { target, arrivals };
}

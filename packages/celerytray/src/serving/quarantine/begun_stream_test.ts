import { expect } from "earl";
import type { RequestListener } from "node:http";
import { describe, it } from "node:test";
import { call, idOf, startBackend, startEntry } from "../test_entry.ts";
import { CrashQuarantine } from "./crash_quarantine.ts";

const PART = "5a";
const EVENT_PAUSE_MS = 50;
const LAST_EVENT_ID = 9;
/** The first replica breaks off after this event. */
const BREAKS_OFF_AFTER_ID = 4;

// Guards against a stream that has written for seconds and is broken off as it is
// moved, because a part of its prompt came into quarantine meanwhile (LOST).
describe("a stream that has written", () => {
  it("goes on elsewhere though a part of its prompt is in quarantine", async () => {
    const quarantine = new CrashQuarantine({ nodeId: "p", onEvent: () => {} });
    quarantine.load([]);
    const entry = await startEntry({
      backends: [
        await startBackend(respondUpTo(BREAKS_OFF_AFTER_ID)),
        await startBackend(respondUpTo(BREAKS_OFF_AFTER_ID)),
      ],
      trySpend: () => true,
      quarantine,
    });
    const answer = call(entry, "/stream/x", {
      "prompt-prefix": `${PART}:10,1c:1`,
      model: "m",
    });
    setTimeout(
      () => quarantine.load([{ part: PART, crashes: 4, releaseOffset: -1 }]),
      BREAKS_OFF_AFTER_ID * EVENT_PAUSE_MS,
    );
    const { status, body, isComplete } = await answer;
    expect({ status, body, isComplete }).toEqual({
      status: 200,
      body: Array.from(
        { length: LAST_EVENT_ID + 1 },
        (_, id) => createEvent(id),
      )
        .join(""),
      isComplete: true,
    });
  });
});

/** Breaks off after an event unless the stream is resumed. */
function respondUpTo(lastId: number): RequestListener {
  return (incoming, response) => {
    response.writeHead(200, {
      "attempt-id": idOf(incoming),
      "server-stamp": "s",
      "content-type": "text/event-stream",
    });
    const resumedAfter = incoming.headers["last-event-id"];
    const breaksOff = resumedAfter === undefined;
    let id = breaksOff ? 0 : Number(resumedAfter) + 1;
    const timer = setInterval(() => {
      response.write(createEvent(id));
      if (breaksOff && id === lastId) incoming.socket.destroy();
      if (id === LAST_EVENT_ID) response.end();
      id += 1;
    }, EVENT_PAUSE_MS);
    response.on("close", () => clearInterval(timer));
  };
}

function createEvent(id: number): string {
  return `id: ${id}\ndata: a\n\n`;
}

import { expect } from "earl";
import type { RequestListener } from "node:http";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../platform/words.ts";
import type { ServingTarget } from "./choose_target.ts";
import { call, idOf, startBackend, startEntry } from "./test_entry.ts";
import { startCutEntry } from "./test_relay.ts";

const SENDING_MS = 30;
/** Time for which the gateway has no replica, and refuses what comes to it. */
const AWAY_MS = 700;

// Guards against a begun stream that is never sent to another process again,
// as each has refused it once, while its own process reaches no back end (LOST).
describe("a stream whose links are lost and whose gateway refuses it", () => {
  it("goes on through the gateway once that serves again", async () => {
    const backends: ServingTarget[] = [];
    const rest = await startBackend(respondRest);
    const gateway = await startEntry({ backends, trySpend: () => true });
    const breaking = await startBackend((incoming, response) => {
      start(incoming, response);
      response.write("id: 0\ndata: a\n\n");
      setTimeout(() => {
        backends.length = 0;
        setTimeout(() => backends.push(rest), AWAY_MS);
        incoming.socket.destroy();
      }, SENDING_MS);
    });
    backends.push(breaking);
    const cut = await startCutEntry([gateway], { trySpend: () => true });
    const { status, body, isComplete } = await call(cut, "/stream/x");
    expect({ status, body, isComplete }).toEqual({
      status: 200,
      body: "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
      isComplete: true,
    });
  });
});

const start: RequestListener = (incoming, response) => {
  incoming.resume();
  response.writeHead(200, {
    [HEADER_NAMES.callId]: idOf(incoming),
    [HEADER_NAMES.stamp]: "s",
    "content-type": "text/event-stream",
  });
};

const respondRest: RequestListener = (incoming, response) => {
  start(incoming, response);
  response.end("id: 1\ndata: b\n\n");
};

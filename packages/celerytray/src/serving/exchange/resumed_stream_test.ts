import { expect } from "earl";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../../platform/words.ts";
import {
  createRawChunk,
  createRawStreamHead,
  LAST_CHUNK,
  readRawHeader,
} from "./raw_response.ts";
import { call, startEntry, startRawBackend } from "../test_entry.ts";

const COMMENT = ": still here\n\n";
const BREAK_DELAY_MS = 20;

describe("a stream that breaks off", () => {
  // Guards against pieces that come twice: a new attempt can't continue behind
  // data that has no id (ORDER).
  for (const events of ["data: a\n\n", "id: 0\ndata: a\n\ndata: b\n\n"]) {
    it(`is not continued behind data without an id: ${JSON.stringify(events)}`, async () => {
      const { response, lastEventIds } = await callBrokenOff(events);
      expect(response.body).toEqual(events);
      expect(response.isComplete).toEqual(false);
      expect(lastEventIds).toEqual([undefined]);
    });
  }

  it("continues behind comments", async () => {
    const { response, lastEventIds } = await callBrokenOff(
      `${COMMENT}id: 0\ndata: a\n\n${COMMENT}`,
    );
    expect(response.body)
      .toEqual(`${COMMENT}id: 0\ndata: a\n\n${COMMENT}id: 1\ndata: rest\n\n`);
    expect([response.status, response.isComplete]).toEqual([200, true]);
    expect(lastEventIds).toEqual([undefined, "0"]);
  });

  it("begins anew after comments alone", async () => {
    const { response, lastEventIds } = await callBrokenOff(COMMENT);
    expect(response.body).toEqual(`${COMMENT}id: 0\ndata: rest\n\n`);
    expect(response.isComplete).toEqual(true);
    expect(lastEventIds).toEqual([undefined, undefined]);
  });
});

/** Calls a route whose first attempt breaks off after the given events. */
async function callBrokenOff(events: string) {
  const lastEventIds: (string | undefined)[] = [];
  const onConnection = (socket: Socket) =>
    socket.on("data", (request) => {
      const lastEventId = readRawHeader(request, HEADER_NAMES.lastEventId);
      lastEventIds.push(lastEventId);
      socket.write(createRawStreamHead(request));
      if (lastEventIds.length === 1) {
        socket.write(createRawChunk(events));
        setTimeout(() => socket.destroy(), BREAK_DELAY_MS);
      } else {
        const id = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
        socket.write(createRawChunk(`id: ${id}\ndata: rest\n\n`) + LAST_CHUNK);
      }
    });
  const backends = [
    await startRawBackend(onConnection),
    await startRawBackend(onConnection),
  ];
  const entry = await startEntry({ backends, trySpend: () => true });
  const response = await call(entry, "/stream/x");
  return { response, lastEventIds };
}

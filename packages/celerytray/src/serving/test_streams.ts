import type { RequestListener } from "node:http";
import { HEADER_NAMES } from "../platform/words.ts";
import { call, idOf } from "./test_entry.ts";

/** Longer than the time for which a stream has to write to count as harmless. */
export const WRITING_MS = 140;
const MIDDLE_MS = 120;

export function events(firstId: number, lastId: number): string {
  return Array.from(
    { length: lastId - firstId + 1 },
    (_, index) => `id: ${firstId + index}\ndata: a\n\n`,
  ).join("");
}

export const begin: RequestListener = (incoming, response) => {
  incoming.resume();
  response.writeHead(200, {
    [HEADER_NAMES.callId]: idOf(incoming),
    [HEADER_NAMES.stamp]: "s",
    "content-type": "text/event-stream",
  });
};

export function firstIdOf(
  { headers }: Parameters<RequestListener>[0],
): number {
  return Number(headers["last-event-id"] ?? -1) + 1;
}

/** Writes two events for longer than 100 ms, then closes the connection. */
export function writeAndBreak(onBreak: () => void = () => {}): RequestListener {
  return (incoming, response) => {
    const first = firstIdOf(incoming);
    begin(incoming, response);
    response.write(events(first, first));
    setTimeout(() => response.write(events(first + 1, first + 1)), MIDDLE_MS);
    setTimeout(() => {
      onBreak();
      incoming.socket.destroy();
    }, WRITING_MS);
  };
}

/** Sends the events up to the last one. */
export const respondRest =
  (lastId: number): RequestListener => (incoming, response) => {
    begin(incoming, response);
    response.end(events(firstIdOf(incoming), lastId));
  };

export const reject: RequestListener = (incoming, response) => {
  incoming.resume();
  response.writeHead(503, {
    [HEADER_NAMES.callId]: idOf(incoming),
    [HEADER_NAMES.notRun]: "1",
  }).end();
};

export async function outcomeOf(
  answer: ReturnType<typeof call>,
) {
  const { status, body, isComplete } = await answer;
  return { status, body, isComplete };
}

export function whole(lastId: number) {
  return { status: 200, body: events(0, lastId), isComplete: true };
}

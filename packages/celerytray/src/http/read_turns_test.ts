import { expect } from "earl";
import { EventEmitter, once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { discardRequest } from "./read_body.ts";
import { ReadTurns, type TurnSocket } from "./read_turns.ts";

const MAX_WAITING = 64;
const SENT_CHUNKS = 100_000;

class TestSocket extends EventEmitter {
  isPaused = false;
  destroyed = false;

  pause(): this {
    this.isPaused = true;
    return this;
  }

  resume(): this {
    this.isPaused = false;
    this.emit("resume");
    return this;
  }

  destroy(): this {
    this.destroyed = true;
    this.emit("close");
    return this;
  }

  asTurnSocket(): TurnSocket {
    return this as unknown as TurnSocket;
  }
}

// Guards against a process that has no time for anything but the chunks of bodies
// that come in very small ones.
describe("ReadTurns", () => {
  it("reads one connection in each turn of the event loop", async () => {
    const turns = new ReadTurns();
    const sockets = [1, 2, 3].map(() => new TestSocket());
    for (const socket of sockets) turns.wait(socket.asTurnSocket(), 256);
    const states: boolean[][] = [];
    for (let turn = 0; turn < 3; turn++) {
      states.push(sockets.map(({ isPaused }) => isPaused));
      await nextTurn();
    }
    states.push(sockets.map(({ isPaused }) => isPaused));
    expect(states.map((paused) => paused.filter(Boolean).length))
      .toEqual([3, 2, 1, 0]);
  });

  it("keeps a connection paused that Node resumes", () => {
    const turns = new ReadTurns();
    const socket = new TestSocket();
    turns.wait(socket.asTurnSocket(), 256);
    socket.resume();
    expect(socket.isPaused).toEqual(true);
  });

  // Guards against a turn in which each of many connections brings ten thousand
  // chunks, so that nobody else is served.
  it("reads connections with an answer, and the newest, before the others", async () => {
    const turns = new ReadTurns();
    const [long, oldest, answered, served, newest] = [1, 2, 3, 4, 5].map(() =>
      new TestSocket()
    ) as [TestSocket, TestSocket, TestSocket, TestSocket, TestSocket];
    const sockets = [oldest, answered, served, newest];
    for (const socket of [long, ...sockets]) {
      turns.add(socket.asTurnSocket(), () => socket === served);
    }
    turns.noteAnswered(answered.asTurnSocket());
    turns.wait(long.asTurnSocket(), 256);
    const states = [sockets.map(({ isPaused }) => isPaused)];
    for (let turn = 0; turn < 2; turn++) {
      await nextTurn();
      states.push(sockets.map(({ isPaused }) => isPaused));
    }
    expect(states).toEqual([
      [true, true, false, true],
      [true, false, false, false],
      [false, false, false, false],
    ]);
  });

  it("accepts those that connect before it reads another long body", async () => {
    const turns = new ReadTurns();
    const [long, next] = [new TestSocket(), new TestSocket()];
    turns.add(long.asTurnSocket(), () => false);
    turns.wait(long.asTurnSocket(), 256);
    turns.add(next.asTurnSocket(), () => false);
    await nextTurn();
    expect([long.isPaused, next.isPaused]).toEqual([true, true]);
    await nextTurn();
    expect([long.isPaused, next.isPaused]).toEqual([false, false]);
  });

  it("closes the connection with the most chunks if too many wait", () => {
    const turns = new ReadTurns();
    const sockets = Array.from(
      { length: MAX_WAITING + 1 },
      () => new TestSocket(),
    );
    sockets.forEach((socket, index) =>
      turns.wait(socket.asTurnSocket(), index === 7 ? 512 : 256)
    );
    const closed = sockets.flatMap(({ destroyed }, index) =>
      destroyed ? [index] : []
    );
    expect(closed).toEqual([7]);
  });
});

describe("discardRequest", () => {
  // A body in small chunks takes several turns, and is read to its end.
  it("lets others have their turn between two reads of a connection", async () => {
    let turns = 0;
    let chunks = 0;
    const server = createServer((request: IncomingMessage, response) => {
      const count = () => {
        turns += 1;
        if (!request.complete) setImmediate(count);
      };
      count();
      discardRequest(request, { maxBytes: 2 * SENT_CHUNKS });
      request.on("data", () => chunks += 1);
      request.on("end", () => response.end());
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const socket = connect((server.address() as AddressInfo).port);
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    socket.write(`${"1\r\nx\r\n".repeat(SENT_CHUNKS)}0\r\n\r\n`);
    await once(socket, "data");
    expect(chunks).toEqual(SENT_CHUNKS);
    expect(turns >= 9).toEqual(true);
    socket.destroy();
    server.close();
  });

  // Guards against a request that is read on and on after it was refused.
  it("closes the connection of a body beyond its limit", async () => {
    const server = createServer((request, response) => {
      discardRequest(request, { maxBytes: 1_000 });
      response.end("refused");
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const socket = connect((server.address() as AddressInfo).port);
    socket.on("error", () => {});
    const send = () => {
      while (
        !socket.destroyed &&
        socket.write("3e8\r\n" + "x".repeat(1_000) + "\r\n")
      );
    };
    socket.on("drain", send);
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    send();
    await new Promise((resolve) => socket.once("close", resolve));
    server.close();
  });
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

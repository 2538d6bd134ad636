import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Chunks of a body after which other connections have their turn. */
const CHUNKS_PER_TURN = 256;
/** Connections that may wait for their turn. */
const MAX_WAITING = 64;

/** What turns need of a connection. */
export type TurnSocket = Pick<
  Socket,
  "pause" | "resume" | "destroy" | "on" | "off" | "destroyed"
>;

interface Waiting {
  /** Chunks that its body has had. */
  readonly chunks: number;
  readonly stopWatching: () => void;
}

/**
 * Reads the bodies that come in many small chunks one after the other, a read of
 * the connection in each turn of the event loop. Each chunk costs as much time as
 * a large one, and a single read may hold ten thousand.
 */
export class ReadTurns {
  readonly #waiting = new Map<TurnSocket, Waiting>();
  #isScheduled = false;

  /** Pauses a connection until its turn. */
  wait(socket: TurnSocket, chunks: number): void {
    if (this.#waiting.has(socket) || socket.destroyed) return;
    // Node resumes the connection as it looks for more of the body.
    const keepPaused = () => socket.pause();
    const forget = () => this.#forget(socket);
    const stopWatching = () => {
      socket.off("resume", keepPaused);
      socket.off("close", forget);
    };
    this.#waiting.set(socket, { chunks, stopWatching });
    socket.on("resume", keepPaused);
    socket.on("close", forget);
    socket.pause();
    if (this.#waiting.size > MAX_WAITING) this.#closeGreatest();
    this.#schedule();
  }

  #forget(socket: TurnSocket): void {
    this.#waiting.get(socket)?.stopWatching();
    this.#waiting.delete(socket);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#resumeNext();
      this.#schedule();
    });
  }

  #resumeNext(): void {
    const [socket] = this.#waiting.keys();
    if (socket === undefined) return;
    this.#forget(socket);
    socket.resume();
  }

  #closeGreatest(): void {
    let greatest: TurnSocket | undefined;
    let mostChunks = 0;
    for (const [socket, { chunks }] of this.#waiting) {
      if (chunks <= mostChunks) continue;
      greatest = socket;
      mostChunks = chunks;
    }
    if (greatest === undefined) return;
    this.#forget(greatest);
    greatest.destroy();
  }
}

const processTurns = new ReadTurns();

/** Lets a request whose body comes in many small chunks be read in turn. */
export function readInTurn(request: IncomingMessage): void {
  let chunks = 0;
  request.on("data", () => {
    chunks += 1;
    if (chunks % CHUNKS_PER_TURN === 0) {
      processTurns.wait(request.socket, chunks);
    }
  });
}

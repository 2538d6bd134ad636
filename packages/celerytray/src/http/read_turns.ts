import type { IncomingMessage, RequestListener } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "./close_connection.ts";

/** Chunks of a body after which other connections have their turn. */
const CHUNKS_PER_TURN = 256;
/** Connections that may wait for their turn. */
const MAX_WAITING = 64;
/** Factor of the new connections in a turn after one in which none was long. */
const TURN_GROWTH = 2;
/** Connections that are accepted, one a turn, before others are read. */
const MAX_ACCEPTS_IN_A_ROW = 64;

/** What turns need of a connection. */
export type TurnSocket = Pick<
  Socket,
  "pause" | "resume" | "destroy" | "on" | "off" | "destroyed"
>;

/** A connection that is not read before its turn. */
interface Paused {
  /** Chunks that its body has had; 0 if they are few. */
  readonly chunks: number;
  readonly stopWatching: () => void;
}

/** An open connection of a server whose connections are read in turn. */
interface OpenConnection {
  /** Whether a whole request of it is being answered. */
  readonly isServed: () => boolean;
  /** Whether a whole request of it was answered. */
  hasAnswer: boolean;
}

/**
 * Reads the bodies that come in many small chunks one after the other, a read of
 * the connection in each turn of the event loop. Each chunk costs as much time as
 * a large one, and a single read may hold ten thousand.
 *
 * Such a read also ends the turn of all connections that were not read yet, as
 * each of them may bring as many. Those that had an answer before are read in the
 * next turn; of the others only the newest, and more after each turn in which none
 * of them brought many.
 */
export class ReadTurns {
  readonly #connections = new Map<TurnSocket, OpenConnection>();
  /** Connections whose bodies come in many chunks. */
  readonly #waiting = new Map<TurnSocket, Paused>();
  /** Other connections that are not read before their turn. */
  readonly #suspended = new Map<TurnSocket, Paused>();
  /** Suspended connections without an answer that are read in the next turn. */
  #newPerTurn = 1;
  /** Turns in a row that have accepted a connection. */
  #acceptsInARow = 0;
  #hasAccepted = false;
  #isScheduled = false;

  /** Adds a connection that is to be read in turn with others. */
  add(socket: TurnSocket, isServed: () => boolean): void {
    this.#connections.set(socket, { isServed, hasAnswer: false });
    socket.on("close", () => this.#connections.delete(socket));
    if (!this.#isBusy) return;
    this.#hasAccepted = true;
    // Node begins to read a new connection in the next tick.
    process.nextTick(() => {
      if (!socket.destroyed) {
        pause(socket, { chunks: 0, paused: this.#suspended });
      }
    });
  }

  /** Notes that a whole request of a connection was answered. */
  noteAnswered(socket: TurnSocket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.hasAnswer = true;
  }

  /** Pauses a connection whose body comes in many chunks until its turn. */
  wait(socket: TurnSocket, chunks: number): void {
    if (this.#waiting.has(socket) || socket.destroyed) return;
    pause(socket, { chunks, paused: this.#waiting });
    if (this.#waiting.size > MAX_WAITING) this.#closeGreatest();
    // The next reads of such a body come one a turn.
    if (chunks <= CHUNKS_PER_TURN) {
      this.#newPerTurn = 0;
      this.#suspendOthers();
    }
    this.#schedule();
  }

  /** Ends the turn of the connections that may still be read in it. */
  #suspendOthers(): void {
    for (const [socket, { isServed }] of this.#connections) {
      if (this.#waiting.has(socket) || this.#suspended.has(socket)) continue;
      if (isServed()) continue;
      pause(socket, { chunks: 0, paused: this.#suspended });
    }
  }

  get #isBusy(): boolean {
    return this.#waiting.size > 0 || this.#suspended.size > 0;
  }

  #schedule(): void {
    if (this.#isScheduled || !this.#isBusy) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#beginTurn();
      this.#schedule();
    });
  }

  /** Lets connections be read; first those are accepted that wait for it. */
  #beginTurn(): void {
    this.#resumeAnswered();
    const isAccepting = this.#hasAccepted &&
      this.#acceptsInARow < MAX_ACCEPTS_IN_A_ROW;
    this.#hasAccepted = false;
    this.#acceptsInARow = isAccepting ? this.#acceptsInARow + 1 : 0;
    if (isAccepting) return;
    this.#resumeNewest();
    this.#resumeNext();
  }

  #resumeAnswered(): void {
    for (const socket of [...this.#suspended.keys()]) {
      const connection = this.#connections.get(socket);
      if (connection?.hasAnswer === true) resume(socket, this.#suspended);
    }
  }

  /** Resumes the newest connections of those that had no answer. */
  #resumeNewest(): void {
    if (this.#suspended.size === 0) return;
    this.#newPerTurn = Math.max(1, this.#newPerTurn * TURN_GROWTH);
    const newest = [...this.#connections.keys()]
      .filter((socket) => this.#suspended.has(socket))
      .slice(-this.#newPerTurn);
    for (const socket of newest) resume(socket, this.#suspended);
  }

  #resumeNext(): void {
    const [socket] = this.#waiting.keys();
    if (socket !== undefined) resume(socket, this.#waiting);
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
    release(greatest, this.#waiting);
    closeConnection(greatest, "slow-body");
  }
}

/** Pauses a connection until it is resumed, and adds it to those paused. */
function pause(
  socket: TurnSocket,
  { chunks, paused }: {
    readonly chunks: number;
    readonly paused: Map<TurnSocket, Paused>;
  },
): void {
  // Node resumes the connection as it looks for more of a body.
  const keepPaused = () => socket.pause();
  const forget = () => release(socket, paused);
  const stopWatching = () => {
    socket.off("resume", keepPaused);
    socket.off("close", forget);
  };
  paused.set(socket, { chunks, stopWatching });
  socket.on("resume", keepPaused);
  socket.on("close", forget);
  socket.pause();
}

function resume(socket: TurnSocket, paused: Map<TurnSocket, Paused>): void {
  release(socket, paused);
  socket.resume();
}

function release(socket: TurnSocket, paused: Map<TurnSocket, Paused>): void {
  paused.get(socket)?.stopWatching();
  paused.delete(socket);
}

const processTurns = new ReadTurns();

/** Reads the connections of a server's listener in turn, where that is needed. */
export function readConnectionInTurn(
  socket: Socket,
  isServed: () => boolean,
): void {
  processTurns.add(socket, isServed);
}

/** Returns a listener that notes which connections had an answer. */
export function trackAnswers(listener: RequestListener): RequestListener {
  return (request, response) => {
    response.once("finish", () => {
      if (request.complete) processTurns.noteAnswered(request.socket);
    });
    listener(request, response);
  };
}

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

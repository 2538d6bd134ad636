import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests that may wait behind another one of their connection. */
const MAX_WAITING = 16;

/** A request that is served once its connection has answered those before it. */
export interface OrderedRequest {
  readonly serve: () => void;
  /** Called instead of `serve` if the connection ends before. */
  readonly drop: () => void;
}

interface Connection {
  isServing: boolean;
  readonly waiting: { response: ServerResponse; request: OrderedRequest }[];
}

/**
 * Serves the requests of each connection one after the other, so that none runs
 * whose connection may end with the answer to an earlier one.
 */
export class RequestOrder {
  readonly #bySocket = new WeakMap<Socket, Connection>();

  /** Takes the next request of a connection; too many end the connection. */
  add(response: ServerResponse, request: OrderedRequest): void {
    const { socket } = response.req;
    const connection = this.#bySocket.get(socket) ?? this.#open(socket);
    connection.waiting.push({ response, request });
    if (connection.waiting.length > MAX_WAITING) socket.destroy();
    serveNext(socket, connection);
  }

  #open(socket: Socket): Connection {
    const connection: Connection = { isServing: false, waiting: [] };
    this.#bySocket.set(socket, connection);
    socket.once("close", () => {
      for (const { request } of connection.waiting.splice(0)) request.drop();
    });
    return connection;
  }
}

function serveNext(socket: Socket, connection: Connection): void {
  if (connection.isServing || !socket.writable) return;
  const next = connection.waiting.shift();
  if (next === undefined) return;
  connection.isServing = true;
  next.response.once("close", () => {
    connection.isServing = false;
    serveNext(socket, connection);
  });
  next.request.serve();
}

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "./close_connection.ts";

/** Requests that may wait behind another one of their connection. */
const MAX_WAITING = 16;

/** A request that is passed on once its connection has answered those before. */
export interface OrderedRequest {
  /** Called when all requests before it are answered. */
  readonly begin: () => void;
  /** Called instead of `begin` if the connection ends before. */
  readonly drop: () => void;
}

interface Connection {
  isAnswering: boolean;
  readonly waiting: { response: ServerResponse; request: OrderedRequest }[];
}

/**
 * Lets the requests of each connection begin one after the other, so that none
 * runs whose connection may end with the answer to an earlier one.
 */
export class RequestOrder {
  readonly #bySocket = new WeakMap<Socket, Connection>();

  /** Takes the next request of a connection; too many end the connection. */
  add(response: ServerResponse, request: OrderedRequest): void {
    const { socket } = response.req;
    const connection = this.#bySocket.get(socket) ?? this.#open(socket);
    connection.waiting.push({ response, request });
    if (connection.waiting.length > MAX_WAITING) {
      closeConnection(socket, "too-many-waiting");
    }
    beginNext(socket, connection);
  }

  #open(socket: Socket): Connection {
    const connection: Connection = { isAnswering: false, waiting: [] };
    this.#bySocket.set(socket, connection);
    socket.once("close", () => {
      for (const { request } of connection.waiting.splice(0)) request.drop();
    });
    return connection;
  }
}

function beginNext(socket: Socket, connection: Connection): void {
  if (connection.isAnswering || !socket.writable) return;
  const next = connection.waiting.shift();
  if (next === undefined) return;
  connection.isAnswering = true;
  next.response.once("close", () => {
    connection.isAnswering = false;
    beginNext(socket, connection);
  });
  next.request.begin();
}

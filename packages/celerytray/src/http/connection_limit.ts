import type { RequestListener } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "./close_connection.ts";

/** Options of a bound on connections. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Whether a whole request of a connection is being answered. */
  readonly isServed: (socket: Socket) => boolean;
  /** Called for each connection that is closed to make room. */
  readonly onClosed: () => void;
}

/**
 * Bounds the connections of a server. For a new one beyond the bound it closes
 * the one that has been without a whole request for longest.
 */
export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions;
  /** In the order of the last request or response. */
  readonly #sockets = new Set<Socket>();

  constructor(options: ConnectionLimitOptions) {
    this.#options = options;
  }

  add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    if (this.#sockets.size > this.#options.maxConnections) this.#closeOne();
  }

  /** Returns a listener that notes each request and response. */
  track(listener: RequestListener): RequestListener {
    return (request, response) => {
      const { socket } = request;
      this.#noteUse(socket);
      response.once("close", () => this.#noteUse(socket));
      listener(request, response);
    };
  }

  #noteUse(socket: Socket): void {
    if (this.#sockets.delete(socket)) this.#sockets.add(socket);
  }

  /** Closes the new connection if all others are being served. */
  #closeOne(): void {
    for (const socket of this.#sockets) {
      if (this.#options.isServed(socket)) continue;
      this.#sockets.delete(socket);
      this.#options.onClosed();
      closeConnection(socket, "too-many-connections");
      return;
    }
  }
}

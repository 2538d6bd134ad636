import type { RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "./close_connection.ts";

const DEFAULT_REFUSAL = "400 Bad Request";
const REFUSALS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Bytes of no request that are read while a response is sent. */
const MAX_FOREIGN_BYTES = 64 * 1024;

/** The responses of a server that are not sent in full, by connection. */
export class OpenResponses {
  readonly #bySocket = new WeakMap<Socket, Set<ServerResponse>>();
  /** Bytes that a connection had brought as the first of no request came. */
  readonly #foreignFrom = new WeakMap<Socket, number>();

  /** Returns a listener that notes each response before it calls another one. */
  track(listener: RequestListener): RequestListener {
    return (request, response) => {
      const { socket } = request;
      const responses = this.#bySocket.get(socket) ?? new Set();
      this.#bySocket.set(socket, responses.add(response));
      response.once("close", () => responses.delete(response));
      listener(request, response);
    };
  }

  /** Whether a whole request of a connection is not answered in full. */
  isServed(socket: Socket): boolean {
    const responses = [...this.#bySocket.get(socket) ?? []];
    return responses.some(({ req }) => req.complete);
  }

  /**
   * Handles a `clientError` of the server. Bytes of no request, or a request that
   * is cut off, end the use of a connection after the responses to the complete
   * requests that came before them; without those they are refused at once.
   */
  handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const responses = [...this.#bySocket.get(socket) ?? []];
    const last = responses.findLast(({ req }) => req.complete);
    if (last === undefined) {
      refuse(error, { socket, responses });
      return;
    }
    const startBytes = this.#foreignFrom.get(socket) ?? socket.bytesRead;
    const isConnected = socket.writable && !socket.readableEnded;
    if (!isConnected) {
      socket.destroy(error);
      return;
    }
    if (socket.bytesRead - startBytes > MAX_FOREIGN_BYTES) {
      closeConnection(socket, "foreign-bytes", error);
      return;
    }
    // Each further read of such a connection is an error too.
    if (this.#foreignFrom.has(socket)) return;
    this.#foreignFrom.set(socket, startBytes);
    last.shouldKeepAlive = false;
    last.once("close", () => socket.destroySoon());
  }
}

/** Refuses bytes as Node does by default. */
function refuse(
  error: NodeJS.ErrnoException,
  { socket, responses }: {
    readonly socket: Socket;
    readonly responses: readonly ServerResponse[];
  },
): void {
  const hasStarted = responses.some(({ headersSent }) => headersSent);
  if (socket.writable && !hasStarted) {
    const status = REFUSALS[error.code ?? ""] ?? DEFAULT_REFUSAL;
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}

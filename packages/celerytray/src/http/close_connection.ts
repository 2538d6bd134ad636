import type { Socket } from "node:net";

/**
 * Why a server closes a connection that is in use: bytes held for callers have
 * reached their bound (`memory`), too many bytes follow a request that are part
 * of none (`foreign-bytes`), too many requests wait behind one another
 * (`too-many-waiting`), a body comes in the most chunks of all (`slow-body`), or
 * there is no room for another connection (`too-many-connections`).
 */
export type ConnectionEnd =
  | "memory"
  | "foreign-bytes"
  | "too-many-waiting"
  | "slow-body"
  | "too-many-connections";

const ends = new WeakMap<object, ConnectionEnd>();

/** Closes a connection at once and notes why, for logs. */
export function closeConnection(
  socket: Pick<Socket, "destroy">,
  end: ConnectionEnd,
  error?: Error,
): void {
  noteConnectionEnd(socket, end);
  socket.destroy(error);
}

/** Notes why a connection is about to be closed; the first cause holds. */
export function noteConnectionEnd(socket: object, end: ConnectionEnd): void {
  if (!ends.has(socket)) ends.set(socket, end);
}

/** Why this process closed a connection; undefined if it noted no cause. */
export function findConnectionEnd(socket: object): ConnectionEnd | undefined {
  return ends.get(socket);
}

import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Faults behind a complete answer. */
export const completeJoinedFaults = [
  /** Bytes of no response behind an answer with a length. */
  "foreign-bytes-after-length",
  /** The same behind an answer in chunks. */
  "foreign-bytes-after-chunks",
  /** A complete response that nobody asked for. */
  "second-response",
] as const;

/** What an instance writes together with its answer. */
export type JoinedFault =
  | typeof completeJoinedFaults[number]
  /** Behind the first events of a stream, which it breaks off. */
  | "no-chunk-size";

/** How an instance answers while it joins its answers with a fault. */
export interface Joining {
  /** The faults to use in turn. */
  readonly faults: readonly JoinedFault[];
  /** One in so many answers is joined. */
  readonly oneIn: number;
  /** Pause before the head and each piece; all are one write if absent. */
  readonly pieceMs?: number;
}

/** An answer that was written together with a fault. */
export interface JoinedAnswer {
  /** Time of its last byte. */
  readonly atMs: number;
  readonly callId: string;
  readonly instanceId: string;
  readonly fault: JoinedFault;
}

interface AnswerParts {
  readonly headers: Readonly<Record<string, string>>;
  /** The events of a stream, or a plain body in one piece. */
  readonly pieces: readonly string[];
  readonly pieceMs?: number;
}

const FOREIGN_BYTES = "bytes of no response\r\n\r\n";
const SECOND_BODY = "answer to no request";
const LAST_CHUNK = "0\r\n\r\n";
const NO_CHUNK_SIZE = "zz\r\n";
const PIECES_BEFORE_NO_CHUNK_SIZE = 2;

/**
 * Writes an answer and a fault behind it as raw bytes, the fault in one write
 * with the last piece. The connection serves no further request. Returns false
 * if it was closed before the last write.
 */
export async function writeJoined(
  { socket }: ServerResponse,
  fault: JoinedFault,
  { pieceMs = 0, ...parts }: AnswerParts,
): Promise<boolean> {
  const pieces = createWrites(fault, parts);
  const writes = pieceMs === 0 ? [pieces.join("")] : pieces;
  for (const bytes of writes) {
    if (pieceMs > 0) await sleep(pieceMs);
    if (socket === null || socket.destroyed) return false;
    socket.write(bytes);
  }
  return true;
}

function createWrites(
  fault: JoinedFault,
  { headers, pieces }: AnswerParts,
): readonly string[] {
  switch (fault) {
    case "foreign-bytes-after-length":
      return createWithLength(headers, pieces, FOREIGN_BYTES);
    case "foreign-bytes-after-chunks":
      return createInChunks(headers, pieces, LAST_CHUNK + FOREIGN_BYTES);
    case "second-response": {
      const second = createWithLength(headers, [SECOND_BODY], "").join("");
      return createWithLength(headers, pieces, second);
    }
    case "no-chunk-size": {
      const first = pieces.slice(0, PIECES_BEFORE_NO_CHUNK_SIZE);
      return createInChunks(headers, first, NO_CHUNK_SIZE);
    }
  }
}

function createWithLength(
  headers: AnswerParts["headers"],
  pieces: readonly string[],
  behind: string,
): readonly string[] {
  const length = Buffer.byteLength(pieces.join(""));
  const head = createHead({ ...headers, "content-length": String(length) });
  return joinLast([head, ...pieces], behind);
}

function createInChunks(
  headers: AnswerParts["headers"],
  pieces: readonly string[],
  behind: string,
): readonly string[] {
  const head = createHead({ ...headers, "transfer-encoding": "chunked" });
  const chunks = pieces.map((piece) =>
    `${Buffer.byteLength(piece).toString(16)}\r\n${piece}\r\n`
  );
  return joinLast([head, ...chunks], behind);
}

function createHead(headers: AnswerParts["headers"]): string {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`;
}

function joinLast(
  pieces: readonly string[],
  behind: string,
): readonly string[] {
  return [...pieces.slice(0, -1), `${pieces.at(-1)}${behind}`];
}

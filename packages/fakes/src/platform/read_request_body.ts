import type { IncomingMessage } from "node:http";

/** Reads the complete body; undefined if the connection was closed first. */
export async function readRequestBody(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    // The connection was closed: nothing was executed, and no response can be sent.
    return undefined;
  }
  return Buffer.concat(chunks);
}

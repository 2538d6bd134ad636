import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

const CHUNK_PREFIX =
  '","object":"chat.completion.chunk","created":1764806400,' +
  '"model":"slot-drafter-70b","choices":[{"index":0,"delta":{"content":"';

/** Streams completions as fast as they are read, with one write for each token. */
export function serveSource(onListening: (port: number) => void): void {
  const server = createServer((request, response) => {
    void complete(request, response);
  });
  server.listen(0, "127.0.0.1", () => {
    const address = server.address();
    onListening(typeof address === "object" ? address?.port ?? 0 : 0);
  });
}

async function complete(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const body = JSON.parse(Buffer.concat(chunks).toString("utf8")) as {
    readonly max_tokens: number;
  };
  const id = String(request.headers["x-request-id"]);
  response.writeHead(200, { "content-type": "text/event-stream" });
  writeTokens(response, { id, index: 0, count: body.max_tokens });
}

interface TokenPosition {
  readonly id: string;
  readonly index: number;
  readonly count: number;
}

function writeTokens(response: ServerResponse, position: TokenPosition): void {
  const { id, index, count } = position;
  if (index === count) {
    response.end("data: [DONE]\n\n");
    return;
  }
  const reason = index === count - 1 ? '"stop"' : "null";
  const canWrite = response.write(
    `id: ${id}:${index}\ndata: {"id":"${id}${CHUNK_PREFIX}word-${index} "},"finish_reason":${reason}}]}\n\n`,
  );
  const next = () => writeTokens(response, { ...position, index: index + 1 });
  if (canWrite) setImmediate(next);
  else response.once("drain", next);
}

import { Agent, createServer, request as httpRequest } from "node:http";

/**
 * Serves the baseline: forwards requests to the sources in turn, and pipes the
 * responses back.
 */
export function servePipe(
  sources: readonly string[],
  onListening: (port: number) => void,
): void {
  const agent = new Agent({ keepAlive: true });
  let requestCount = 0;
  const server = createServer((request, response) => {
    const [host, port] = sources[requestCount++ % sources.length]!.split(":");
    const forwarded = httpRequest({
      host,
      port: Number(port),
      agent,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: { ...request.headers, "x-request-id": `req-${requestCount}` },
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
    });
    forwarded.on("error", () => response.destroy());
    request.pipe(forwarded);
  });
  server.listen(0, "127.0.0.1", () => {
    const address = server.address();
    onListening(typeof address === "object" ? address?.port ?? 0 : 0);
  });
}

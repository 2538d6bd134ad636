import { Agent, createServer, request as httpRequest } from "node:http";

/** Passes each request to a source and its answer back: the bare baseline. */
export function servePipe(
  sources: readonly string[],
  onListening: (port: number) => void,
): void {
  const agent = new Agent({ keepAlive: true });
  let sent = 0;
  const server = createServer((request, response) => {
    const [host, port] = sources[sent++ % sources.length]!.split(":");
    const passed = httpRequest({
      host,
      port: Number(port),
      agent,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: { ...request.headers, "x-request-id": `req-${sent}` },
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
    });
    passed.on("error", () => response.destroy());
    request.pipe(passed);
  });
  server.listen(0, "127.0.0.1", () => {
    const address = server.address();
    onListening(typeof address === "object" ? address?.port ?? 0 : 0);
  });
}

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { answerJson } from "./fake_store_server.ts";

const MISDIRECTED_STATUS = 421;
const REPORT_PATH = "/report";
const ORDER_PATH = "/order";

/** A request of a caller, as an instance saw it. */
export interface FakeArrival {
  readonly atMs: number;
  readonly callId: string;
  readonly instanceId: string;
  readonly zone: string;
  /** Whether the instance ran it; false where it answered that it did not. */
  readonly hasRun: boolean;
  /** Whether it was answered 421. */
  readonly isMisdirected: boolean;
}

/** What all instances of the platform have in common. */
export interface FakeServiceOptions {
  readonly id: string;
  readonly zone?: string;
  readonly bornAtMs?: number;
  readonly coldUntilMs?: number;
  readonly onArrival?: (arrival: FakeArrival) => void;
}

/** A request with its whole body. */
export interface FakeRequest {
  readonly callId: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: Buffer;
}

/** An instance of the platform over HTTP, with what all kinds have in common. */
export abstract class FakeHttpInstance {
  readonly id: string;
  readonly zone: string;
  readonly bornAtMs: number;
  readonly server: Server;
  /** Ids of the requests that it ran. */
  readonly executedCallIds: string[] = [];
  isAlive = true;
  isLeaving = false;
  coldUntilMs: number;
  readonly #onArrival: (arrival: FakeArrival) => void;

  constructor(options: FakeServiceOptions) {
    this.id = options.id;
    this.zone = options.zone ?? "zone-a";
    this.bornAtMs = options.bornAtMs ?? 1;
    this.coldUntilMs = options.coldUntilMs ?? 0;
    this.#onArrival = options.onArrival ?? (() => {});
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  /** Ends it at once, with all its connections. */
  kill(): void {
    this.isAlive = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Its entry in the list, at an address. */
  describe(address: string): string {
    return JSON.stringify({
      address,
      zone: this.zone,
      state: this.isLeaving ? "draining" : "ready",
      born: this.bornAtMs,
      ...this.#describeCold(),
      ...this.describeKind(),
    });
  }

  /** The fields of its entry that only its kind has. */
  protected abstract describeKind(): object;

  protected abstract serve(
    request: FakeRequest,
    response: ServerResponse,
  ): Promise<void>;

  protected order(_order: Buffer): number {
    return MISDIRECTED_STATUS;
  }

  /** Notes that a request runs. */
  protected noteRun(callId: string): void {
    this.executedCallIds.push(callId);
    this.#note({ callId, hasRun: true, isMisdirected: false });
  }

  /** Answers that a request was not run. */
  protected reject(
    { callId }: FakeRequest,
    response: ServerResponse,
    status: number,
  ): void {
    const isMisdirected = status === MISDIRECTED_STATUS;
    this.#note({ callId, hasRun: false, isMisdirected });
    response.writeHead(status, { "not-executed": "1", ...this.leavingHead() })
      .end();
  }

  protected leavingHead(): Record<string, string> {
    return this.isLeaving ? { "server-leaving": "1" } : {};
  }

  #note(
    arrival: Pick<FakeArrival, "callId" | "hasRun" | "isMisdirected">,
  ): void {
    this.#onArrival({
      atMs: performance.now(),
      instanceId: this.id,
      zone: this.zone,
      ...arrival,
    });
  }

  #describeCold(): object {
    const remainingMs = this.coldUntilMs - performance.now();
    return remainingMs > 0
      ? { cold_remaining_ms: Math.round(remainingMs) }
      : {};
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.headers["expect-instance"] !== this.id) {
      request.resume();
      response.writeHead(MISDIRECTED_STATUS, { "not-executed": "1" }).end();
      return;
    }
    const body = await readWhole(request);
    if (body === undefined) return;
    if (request.url === REPORT_PATH) this.#report(response);
    else if (request.url === ORDER_PATH) {
      response.writeHead(this.order(body), this.leavingHead()).end();
    } else {
      const callId = String(request.headers["attempt-id"]);
      await this.serve({ callId, headers: request.headers, body }, response);
    }
  }

  #report(response: ServerResponse): void {
    const coldMs = Math.ceil(this.coldUntilMs - performance.now());
    if (coldMs > 0) response.setHeader("cold-ms", coldMs);
    if (this.isLeaving) response.setHeader("server-leaving", "1");
    answerJson(response, 200, { pace: 1 });
  }
}

/** Nothing if the caller broke it off. */
async function readWhole(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    // The caller closed the connection; nothing ran and nobody is answered.
    return undefined;
  }
  return Buffer.concat(chunks);
}

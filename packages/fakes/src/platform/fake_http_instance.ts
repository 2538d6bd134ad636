import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { answerJson } from "./fake_store_server.ts";
import {
  type JoinedAnswer,
  type JoinedFault,
  type Joining,
  writeJoined,
} from "./joined_answer.ts";
import { readRequestBody } from "./read_request_body.ts";

const MISDIRECTED_STATUS = 421;
const REPORT_PATH = "/report";
const ORDER_PATH = "/order";

/** A caller's request as an instance received it. */
export interface FakeArrival {
  /** Time at which the instance had read the request. */
  readonly atMs: number;
  /** Time of its execution or rejection; later if the instance was silent. */
  readonly handledAtMs: number;
  readonly callId: string;
  readonly instanceId: string;
  readonly zone: string;
  /** Whether the instance executed it; false if it answered with `not-executed`. */
  readonly hasRun: boolean;
  /** Whether the instance answered 421 (Misdirected Request). */
  readonly isMisdirected: boolean;
  /** Instances that take part in its execution; absent if it did not run. */
  readonly members?: readonly string[];
}

/** Options that model instances and plain instances share. */
export interface FakeHttpInstanceOptions {
  readonly id: string;
  readonly zone?: string;
  readonly bornAtMs?: number;
  readonly coldUntilMs?: number;
  readonly onArrival?: (arrival: FakeArrival) => void;
  readonly onJoined?: (answer: JoinedAnswer) => void;
}

/** A request with its complete body. */
export interface FakeRequest {
  readonly callId: string;
  readonly readAtMs: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: Buffer;
}

/** Base class of the platform's fake instances, which serve HTTP. */
export abstract class FakeHttpInstance {
  readonly id: string;
  readonly zone: string;
  readonly bornAtMs: number;
  readonly server: Server;
  /** Ids of the requests that this instance executed. */
  readonly executedCallIds: string[] = [];
  isAlive = true;
  isLeaving = false;
  /** Whether its answers say that it leaves, besides its list entry. */
  tellsLeaving = true;
  /** Whether it has removed its entry from the list; it continues to serve. */
  isUnlisted = false;
  /** Requests a second that its answers say it takes from all machines. */
  limitPerSecond: number | undefined;
  coldUntilMs: number;
  /** How it joins answers with faults; undefined if it does not. */
  joining: Joining | undefined;
  readonly #onArrival: (arrival: FakeArrival) => void;
  readonly #onJoined: (answer: JoinedAnswer) => void;
  #joinableCount = 0;
  #connectionCount = 0;
  #silentUntilMs = 0;

  constructor(options: FakeHttpInstanceOptions) {
    this.id = options.id;
    this.zone = options.zone ?? "zone-a";
    this.bornAtMs = options.bornAtMs ?? 1;
    this.coldUntilMs = options.coldUntilMs ?? 0;
    this.#onArrival = options.onArrival ?? (() => {});
    this.#onJoined = options.onJoined ?? (() => {});
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.server.on("connection", (socket) => {
      this.#connectionCount += 1;
      socket.once("close", () => this.#connectionCount -= 1);
      if (this.#connectionCount > this.maxConnections()) {
        socket.resetAndDestroy();
      }
    });
  }

  /**
   * Sends nothing for a time, then goes on where it stopped. It still accepts
   * connections and reads requests.
   */
  fallSilent(durationMs: number): void {
    this.#silentUntilMs = performance.now() + durationMs;
  }

  /** Whether it sends nothing now. */
  get isSilent(): boolean {
    return performance.now() < this.#silentUntilMs;
  }

  /** Waits while it is silent. */
  async awaitVoice(): Promise<void> {
    while (true) {
      const restMs = this.#silentUntilMs - performance.now();
      if (restMs <= 0) return;
      await sleep(restMs);
    }
  }

  /** Stops the instance at once and closes all its connections. */
  kill(): void {
    this.isAlive = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Returns its entry in the instance list as JSON, with the given address. */
  createListEntry(address: string): string {
    return JSON.stringify({
      address,
      zone: this.zone,
      state: this.isLeaving ? "draining" : "ready",
      born: this.bornAtMs,
      ...this.#createColdFields(),
      ...this.createKindFields(),
    });
  }

  /** Returns the fields of the list entry that are specific to the kind of instance. */
  protected abstract createKindFields(): object;

  protected abstract serve(
    request: FakeRequest,
    response: ServerResponse,
  ): Promise<void>;

  /** Connections that it accepts now; it resets those beyond. */
  protected maxConnections(): number {
    return Number.POSITIVE_INFINITY;
  }

  /** Headers that describe its load. */
  protected createLoadHeaders(): Record<string, string> {
    return {};
  }

  protected order(_order: Buffer): number {
    return MISDIRECTED_STATUS;
  }

  /** Records that the instance executes a request, with others if named. */
  protected recordExecution(
    request: FakeRequest,
    members: readonly string[] = [this.id],
  ): void {
    this.executedCallIds.push(request.callId);
    const isMisdirected = false;
    this.#reportArrival(request, { hasRun: true, isMisdirected, members });
  }

  /** Returns the fault to join the next answer with, if any. */
  protected nextJoinedFault(): JoinedFault | undefined {
    if (this.joining === undefined) return undefined;
    const { faults, oneIn } = this.joining;
    const index = this.#joinableCount++;
    if (index % oneIn > 0) return undefined;
    return faults[(index / oneIn) % faults.length];
  }

  /** Answers with a fault in the same write as the last piece of the body. */
  protected async answerJoined(
    { callId }: FakeRequest,
    response: ServerResponse,
    { fault, ...answer }: {
      readonly fault: JoinedFault;
      readonly headers: Readonly<Record<string, string>>;
      readonly pieces: readonly string[];
    },
  ): Promise<void> {
    const { pieceMs = 0 } = this.joining ?? {};
    if (!await writeJoined(response, fault, { ...answer, pieceMs })) return;
    const atMs = performance.now();
    this.#onJoined({ atMs, callId, instanceId: this.id, fault });
  }

  /** Answers with a status and `not-executed`, and reports the arrival. */
  protected reject(
    request: FakeRequest,
    response: ServerResponse,
    status: number,
  ): void {
    const isMisdirected = status === MISDIRECTED_STATUS;
    this.#reportArrival(request, { hasRun: false, isMisdirected });
    response.writeHead(status, {
      "attempt-id": request.callId,
      "not-executed": "1",
      ...this.createLoadHeaders(),
      ...this.createLeavingHeaders(),
    })
      .end();
  }

  protected createLeavingHeaders(): Record<string, string> {
    return {
      ...(this.isLeaving && this.tellsLeaving ? { "server-leaving": "1" } : {}),
      ...(this.limitPerSecond === undefined
        ? {}
        : { "server-limit": String(this.limitPerSecond) }),
    };
  }

  #reportArrival(
    { callId, readAtMs }: FakeRequest,
    outcome: Pick<FakeArrival, "hasRun" | "isMisdirected" | "members">,
  ): void {
    this.#onArrival({
      atMs: readAtMs,
      handledAtMs: performance.now(),
      callId,
      instanceId: this.id,
      zone: this.zone,
      ...outcome,
    });
  }

  #createColdFields(): object {
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
      await this.awaitVoice();
      response.writeHead(MISDIRECTED_STATUS, {
        "attempt-id": request.headers["attempt-id"] ?? "",
        "not-executed": "1",
      }).end();
      return;
    }
    const body = await readRequestBody(request);
    if (body === undefined) return;
    const readAtMs = performance.now();
    await this.awaitVoice();
    // An instance that ended while it was silent runs nothing afterwards.
    if (!this.isAlive) return;
    if (request.url === REPORT_PATH) this.#report(response);
    else if (request.url === ORDER_PATH) {
      response.writeHead(this.order(body), this.createLeavingHeaders()).end();
    } else {
      const callId = String(request.headers["attempt-id"]);
      const { headers } = request;
      await this.serve({ callId, readAtMs, headers, body }, response);
    }
  }

  #report(response: ServerResponse): void {
    const coldMs = Math.ceil(this.coldUntilMs - performance.now());
    if (coldMs > 0) response.setHeader("cold-ms", coldMs);
    if (this.isLeaving && this.tellsLeaving) {
      response.setHeader("server-leaving", "1");
    }
    answerJson(response, 200, { pace: 1 });
  }
}

import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";

/** Faults that the fake front can have, selected by FAKE_FRONT_FAULT. */
export const fakeFrontFaults = [
  "none",
  "mixes-answers",
  "repeats-requests",
  "refuses-what-ran",
  "keeps-keys",
  "keeps-instances",
  "ignores-evacuations",
  "floods-cold-instances",
  "stops-at-once",
  "ends-unasked",
  "grows",
  "does-not-recover",
] as const;
export type FakeFrontFault = typeof fakeFrontFaults[number];

const POLL_MS = 200;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;
const MAX_ATTEMPTS = 3;
const EVACUATION_PREFIX = "evacuate/";
const COLD_REQUEST_INTERVAL_MS = 200;
/** Time within which the platform's front stops sending new connections. */
const STOP_DELAY_MS = 3_000;
const FAULT_DELAY_MS = 3_000;
/** 13 buffers of 16 MiB are slightly more than the memory of the smallest machines. */
const MAX_LEAKED_BUFFERS = 13;
const LEAKED_BUFFER_BYTES = 16 * 1_024 * 1_024;

interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly state: string;
  readonly cold_remaining_ms?: number;
}

interface ForwardedAnswer {
  readonly status: number;
  readonly body: Buffer;
  readonly isNotExecuted: boolean;
}

/**
 * A minimal fake of the entry program, for plain services only. Its faults show
 * that each check of the soak test fails when it should.
 */
export class FakeFront {
  readonly #fault: FakeFrontFault;
  readonly #storeAddress: string;
  readonly #server: Server;
  readonly #apiKeys = new Set<string>();
  readonly #evacuatedZones = new Set<string>();
  readonly #lastSentAtMs = new Map<string, number>();
  readonly #startedAtMs = performance.now();
  readonly #leakedBuffers: Buffer[] = [];
  #instances: readonly ListedInstance[] = [];
  #lastBody: Buffer | undefined;
  #choiceCount = 0;
  #isStopping = false;

  constructor(options: {
    readonly fault: FakeFrontFault;
    readonly storeAddress: string;
  }) {
    this.#fault = options.fault;
    this.#storeAddress = options.storeAddress;
    this.#server = createServer((incoming, response) => {
      void this.#serve(incoming, response);
    });
  }

  /** Listens on HOST:PORT and starts to poll the store. */
  start(address: string): void {
    const [host, port] = address.split(":");
    this.#server.listen(Number(port), host);
    void this.#pollStore();
    setInterval(() => this.#injectTimedFaults(), POLL_MS);
  }

  /**
   * Closes each connection after its next response. After 3 s it stops listening,
   * and exits once all connections are closed. With its fault it exits with its
   * next request instead, so that this one is surely lost.
   */
  stop(): void {
    this.#isStopping = true;
    if (this.#fault === "stops-at-once") return;
    setTimeout(() => this.#server.close(() => process.exit(0)), STOP_DELAY_MS);
  }

  #injectTimedFaults(): void {
    if (
      this.#fault === "grows" && this.#leakedBuffers.length < MAX_LEAKED_BUFFERS
    ) {
      this.#leakedBuffers.push(Buffer.alloc(LEAKED_BUFFER_BYTES, 1));
    }
    const isDue = performance.now() > this.#startedAtMs + FAULT_DELAY_MS;
    if (this.#fault === "ends-unasked" && isDue) process.exit(1);
  }

  async #pollStore(): Promise<void> {
    while (true) {
      try {
        const operatorRecords = await this.#readNewest("keyed.op");
        const instanceRecords = await this.#readNewest("keyed.servers");
        this.#applyOperatorRecords(operatorRecords);
        if (this.#fault !== "keeps-instances" || this.#instances.length === 0) {
          this.#instances = [...instanceRecords].map(([id, text]) => ({
            ...JSON.parse(text),
            id,
          }));
        }
      } catch (error) {
        process.stderr.write(
          `fake front: polling the store failed: ${(error as Error).message}\n`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  async #readNewest(topic: string): Promise<ReadonlyMap<string, string>> {
    const url = `http://${this.#storeAddress}/log-newest?topic=${topic}&part=0`;
    const page = await (await fetch(url)).json() as {
      readonly items: readonly {
        readonly key: string;
        readonly value: string;
      }[];
    };
    return new Map(
      page.items.map(({ key, value }) => [
        key,
        Buffer.from(value, "base64").toString(),
      ]),
    );
  }

  #applyOperatorRecords(records: ReadonlyMap<string, string>): void {
    const config = JSON.parse(records.get("config") ?? "{}") as {
      readonly tenants?: readonly { readonly api_keys: readonly string[] }[];
    };
    if (this.#fault !== "keeps-keys") this.#apiKeys.clear();
    for (const { api_keys: keys } of config.tenants ?? []) {
      for (const key of keys) this.#apiKeys.add(key);
    }
    this.#evacuatedZones.clear();
    if (this.#fault === "ignores-evacuations") return;
    for (const key of records.keys()) {
      if (!key.startsWith(EVACUATION_PREFIX)) continue;
      this.#evacuatedZones.add(key.slice(EVACUATION_PREFIX.length));
    }
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk as Buffer);
    if (this.#isStopping && this.#fault === "stops-at-once") process.exit(0);
    const callId = String(incoming.headers["attempt-id"]);
    response.setHeader("attempt-id", callId);
    if (this.#isStopping) response.setHeader("connection", "close");
    if (!this.#apiKeys.has(String(incoming.headers["x-api-key"]))) {
      response.writeHead(401).end();
      return;
    }
    const isUnavailable = this.#fault === "does-not-recover" &&
      performance.now() > this.#startedAtMs + FAULT_DELAY_MS;
    const answer = isUnavailable
      ? undefined
      : await this.#forward(callId, Buffer.concat(chunks));
    if (answer === undefined || this.#fault === "refuses-what-ran") {
      response.writeHead(UNAVAILABLE_STATUS, { "not-executed": "1" }).end();
      return;
    }
    const otherBody = this.#fault === "mixes-answers"
      ? this.#lastBody
      : undefined;
    this.#lastBody = answer.body;
    response.writeHead(answer.status).end(otherBody ?? answer.body);
  }

  /** Returns the response of an instance, or undefined if none executed the request. */
  async #forward(
    callId: string,
    body: Buffer,
  ): Promise<ForwardedAnswer | undefined> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const target = this.#choose();
      if (target === undefined) return undefined;
      const answer = await send(target, callId, body);
      if (this.#fault === "repeats-requests" && attempt === 0) continue;
      if (!answer.isNotExecuted) return answer;
    }
    return undefined;
  }

  #choose(): ListedInstance | undefined {
    const usable = this.#instances.filter(({ state, zone }) =>
      state === "ready" && !this.#evacuatedZones.has(zone)
    );
    const cold = usable.filter((entry) => (entry.cold_remaining_ms ?? 0) > 0);
    if (this.#fault === "floods-cold-instances" && cold.length > 0) {
      return cold[0];
    }
    this.#choiceCount += 1;
    const available = usable.filter((entry) =>
      !cold.includes(entry) || this.#mayReceiveWhileCold(entry.id)
    );
    const chosen = available[this.#choiceCount % Math.max(1, available.length)];
    if (chosen !== undefined) {
      this.#lastSentAtMs.set(chosen.id, performance.now());
    }
    return chosen;
  }

  #mayReceiveWhileCold(id: string): boolean {
    const lastMs = this.#lastSentAtMs.get(id) ?? 0;
    return performance.now() - lastMs > COLD_REQUEST_INTERVAL_MS;
  }
}

function send(
  { id, address }: ListedInstance,
  callId: string,
  body: Buffer,
): Promise<ForwardedAnswer> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port: Number(port),
      method: "POST",
      path: "/desk/x",
      agent: false,
      headers: { "attempt-id": callId, "expect-instance": id },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("close", () => {
        const status = response.statusCode ?? 0;
        const isNotExecuted = response.headers["not-executed"] !== undefined ||
          status === MISDIRECTED_STATUS;
        resolve({ status, body: Buffer.concat(chunks), isNotExecuted });
      });
    });
    outgoing.on("error", ({ code }: NodeJS.ErrnoException) =>
      resolve({
        status: 502,
        body: Buffer.alloc(0),
        isNotExecuted: code === "ECONNREFUSED",
      }));
    outgoing.end(body);
  });
}

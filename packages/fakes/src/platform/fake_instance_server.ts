import type { InstanceOrder } from "celerytray";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { FakeModelInstance } from "../fleet/fake_model_instance.ts";
import { answerJson } from "./fake_store_server.ts";

const TIMES = { hotJoinMs: 50, warmJoinMs: 100, loadMs: 200, closeMs: 20 };
const STEP_MS = 10;
const EVENTS = 5;
const MISDIRECTED_STATUS = 421;
const STATUSES = {
  begun: 202,
  holds: 200,
  unfit: 409,
  outdated: 412,
  elsewhere: MISDIRECTED_STATUS,
} as const;

/** A model instance of the platform over HTTP, which reports its changes. */
export class FakeInstanceServer {
  readonly instance: FakeModelInstance;
  readonly server: Server;
  /** Ids of the requests that it ran. */
  readonly ranIds: string[] = [];
  /** Pause between the events of a stream. */
  eventPauseMs = 10;
  readonly #onChange: () => void;
  readonly #timer: NodeJS.Timeout;

  constructor(options: {
    readonly id: string;
    readonly domain: string;
    readonly onChange: () => void;
  }) {
    this.#onChange = options.onChange;
    this.instance = new FakeModelInstance({
      id: options.id,
      domain: options.domain,
      bornAtMs: 1,
      times: TIMES,
    });
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#timer = setInterval(() => {
      if (this.instance.advance(performance.now())) this.#onChange();
    }, STEP_MS);
  }

  /** Ends it at once, with all its connections. */
  kill(): void {
    clearInterval(this.#timer);
    this.instance.isAlive = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Its entry in the list, at an address. */
  describe(address: string): string {
    const { membership, ...state } = this.instance.describe();
    return JSON.stringify({
      service: state.service,
      address,
      zone: state.zone,
      slots: state.slots,
      state: "ready",
      born: state.bornAtMs,
      domain: state.domain,
      staged: state.stagedModels,
      models: state.loadedModel === undefined
        ? []
        : [{ name: state.loadedModel }],
      ...(membership === undefined ? {} : {
        group: {
          name: membership.replica,
          epoch: membership.epoch,
          rank: membership.rank,
          state: membership.state,
        },
      }),
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.headers["expect-instance"] !== this.instance.id) {
      request.resume();
      response.writeHead(MISDIRECTED_STATUS, { "not-executed": "1" }).end();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (request.url === "/report") answerJson(response, 200, { pace: 1 });
    else if (request.url === "/order") {
      const order = decodeOrder(JSON.parse(Buffer.concat(chunks).toString()));
      const outcome = this.instance.order(order, performance.now());
      response.writeHead(STATUSES[outcome]).end();
      this.#onChange();
    } else await this.#serve(request, response);
  }

  /** Streams a few events with rising ids, as the head of an open replica. */
  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { membership, id } = this.instance;
    const callId = String(request.headers["attempt-id"]);
    const isServing = membership?.state === "open" &&
      membership.members[0] === id;
    if (!isServing) {
      response.writeHead(MISDIRECTED_STATUS, { "not-executed": "1" }).end();
      return;
    }
    this.ranIds.push(callId);
    response.writeHead(200, {
      "attempt-id": callId,
      "server-stamp": `stamp-${id}`,
      "content-type": "text/event-stream",
    });
    const after = request.headers["last-event-id"];
    const firstId = after === undefined ? 0 : Number(after) + 1;
    for (let event = firstId; event < EVENTS; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${event}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, this.eventPauseMs));
    }
    response.end();
  }
}

interface WireOrder {
  readonly op: InstanceOrder["kind"];
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  readonly members: readonly string[];
  readonly close_mode: string;
  readonly fence: number;
}

function decodeOrder(
  wire: WireOrder,
): InstanceOrder & { readonly fence: number } {
  const { op, group: replica, epoch, model, members, fence } = wire;
  switch (op) {
    case "join":
      return { kind: op, replica, epoch, model, members, fence };
    case "close": {
      const isImmediate = wire.close_mode === "preempt";
      return { kind: op, replica, epoch, isImmediate, fence };
    }
    case "stage":
      return { kind: op, model, fence };
    default:
      return { kind: op, replica, epoch, fence };
  }
}

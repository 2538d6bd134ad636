import type { ServerResponse } from "node:http";
import { FakeModelInstance } from "../fleet/fake_model_instance.ts";
import {
  FakeHttpInstance,
  type FakeHttpInstanceOptions,
  type FakeRequest,
} from "./fake_http_instance.ts";
import { decodeOrder } from "./decode_order.ts";
import { type HeadLimits, HeadPlaces } from "./head_places.ts";

const TIMES = { hotJoinMs: 50, warmJoinMs: 100, loadMs: 200, closeMs: 20 };
const STEP_MS = 10;
/** Time from the start of a deadly request to the crash. */
const CRASH_DELAY_MS = 150;
const DEFAULT_EVENTS = 5;
const MISDIRECTED_STATUS = 421;
const FULL_STATUS = 503;
const STATUSES = {
  begun: 202,
  holds: 200,
  unfit: 409,
  outdated: 412,
  elsewhere: MISDIRECTED_STATUS,
} as const;

/** A run of a stream as the head of its replica saw it end. */
export interface FakeStreamRun {
  readonly callId: string;
  readonly instanceId: string;
  /** Unix times. */
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Id of the first event, after which it was resumed if that is not 0. */
  readonly firstId: number;
  readonly eventCount: number;
  readonly end: "whole" | "connection-closed" | "instance-ended";
}

/** A model instance over HTTP, which reports each change of its state. */
export class FakeInstanceServer extends FakeHttpInstance {
  readonly instance: FakeModelInstance;
  /** Pause after each event of a stream. */
  eventPauseMs = 10;
  /** Events of a complete stream. */
  eventCount = DEFAULT_EVENTS;
  readonly #awaitMember: (id: string) => Promise<void>;
  readonly #onChange: () => void;
  readonly #deadlyParts: ReadonlySet<string>;
  readonly #onCrash: () => void;
  readonly #onStreamEnd: (run: FakeStreamRun) => void;
  readonly #limits: HeadLimits | undefined;
  #places: HeadPlaces | undefined;
  readonly #timer: NodeJS.Timeout;
  /** The streams in progress, with the id of each request. */
  readonly #responses = new Map<ServerResponse, string>();

  constructor(
    options: FakeHttpInstanceOptions & {
      readonly domain: string;
      readonly onChange: () => void;
      /** Waits while another instance is silent, which its replica needs. */
      readonly awaitMember: (id: string) => Promise<void>;
      /** Parts of prompts on which it crashes. */
      readonly deadlyParts: ReadonlySet<string>;
      readonly onCrash: () => void;
      readonly onStreamEnd?: (run: FakeStreamRun) => void;
      /** Its limits as a head; none by default. */
      readonly limits?: HeadLimits;
    },
  ) {
    super(options);
    this.#onChange = options.onChange;
    this.#awaitMember = options.awaitMember;
    this.#deadlyParts = options.deadlyParts;
    this.#onCrash = options.onCrash;
    this.#onStreamEnd = options.onStreamEnd ?? (() => {});
    this.#limits = options.limits;
    this.limitHead(options.limits);
    this.instance = new FakeModelInstance({
      id: options.id,
      domain: options.domain,
      bornAtMs: this.bornAtMs,
      times: TIMES,
      work: {
        isUnderWay: () => this.#responses.size > 0,
        breakOff: () => {
          for (const response of this.#responses.keys()) response.destroy();
        },
      },
    });
    this.#timer = setInterval(() => {
      if (this.instance.advance(performance.now())) this.#onChange();
    }, STEP_MS);
  }

  /**
   * Has it take other limits as a head, none if undefined, than its entry says.
   * Streams in progress count for the limits before.
   */
  limitHead(limits: HeadLimits | undefined): void {
    this.#places = limits === undefined ? undefined : new HeadPlaces(limits);
  }

  /** Requests that wait for a slot. */
  get waitingCount(): number {
    return this.#places?.waitingCount ?? 0;
  }

  /** Ids of the requests whose streams are in progress. */
  listStreamingCallIds(): readonly string[] {
    return [...this.#responses.values()];
  }

  override kill(): void {
    clearInterval(this.#timer);
    this.instance.isAlive = false;
    super.kill();
  }

  protected createKindFields(): object {
    const { membership, ...state } = this.instance.toInstanceState();
    return {
      service: state.service,
      slots: this.#limits?.slots ?? state.slots,
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
    };
  }

  protected override maxConnections(): number {
    return this.#places?.maxConnections ?? super.maxConnections();
  }

  protected override createLoadHeaders(): Record<string, string> {
    return this.#places === undefined
      ? {}
      : { "replica-load": this.#places.describe() };
  }

  /** Crashes after some time if a part of the prompt is deadly. */
  async #crashesOn(
    header: string | readonly string[] | undefined,
  ): Promise<boolean> {
    if (!listParts(header).some((part) => this.#deadlyParts.has(part))) {
      return false;
    }
    await new Promise((resolve) => setTimeout(resolve, CRASH_DELAY_MS));
    this.#onCrash();
    return true;
  }

  protected override order(order: Buffer): number {
    const outcome = this.instance.applyOrder(
      decodeOrder(JSON.parse(order.toString())),
      performance.now(),
    );
    this.#onChange();
    return STATUSES[outcome];
  }

  /**
   * Streams events with ascending ids if it is the head of an open replica and
   * has a place; resumes after `last-event-id`.
   */
  protected async serve(
    request: FakeRequest,
    response: ServerResponse,
  ): Promise<void> {
    const { membership, id } = this.instance;
    const places = this.#places;
    const isServing = membership?.state === "open" &&
      membership.members[0] === id;
    if (!isServing) {
      this.reject(request, response, MISDIRECTED_STATUS);
    } else if (places?.isFull === true) {
      this.reject(request, response, FULL_STATUS);
    } else if (places === undefined) {
      await this.#stream(request, response);
    } else if (await places.enter(response)) {
      await this.#stream(request, response);
      places.leave();
    }
  }

  async #stream(
    request: FakeRequest,
    response: ServerResponse,
  ): Promise<void> {
    const { callId, headers, body } = request;
    const { id } = this.instance;
    const { membership } = this.instance;
    this.recordExecution(request, membership?.members);
    // Its connection may have closed while the instance was silent.
    if (!response.destroyed) {
      this.#responses.set(response, callId);
      response.once("close", () => this.#responses.delete(response));
    }
    if (await this.#crashesOn(headers["prompt-prefix"])) return;
    const streamHeaders = {
      "attempt-id": callId,
      "server-stamp": `stamp-${id}`,
      "content-type": "text/event-stream",
      ...this.createLoadHeaders(),
      ...this.createLeavingHeaders(),
    };
    const after = headers["last-event-id"];
    const firstId = after === undefined ? 0 : Number(after) + 1;
    const pieces = createEvents(body.toString(), {
      firstId,
      count: this.eventCount,
    });
    // A stream that is resumed is not joined, so that it becomes complete.
    const fault = firstId === 0 ? this.nextJoinedFault() : undefined;
    if (fault !== undefined) {
      await this.#awaitMembers();
      const answer = { fault, headers: streamHeaders, pieces };
      await this.answerJoined(request, response, answer);
      return;
    }
    response.writeHead(200, streamHeaders);
    const startedAtMs = Date.now();
    const eventCount = await this.#writeEvents(response, pieces);
    this.#onStreamEnd({
      callId,
      instanceId: id,
      startedAtMs,
      endedAtMs: Date.now(),
      firstId,
      eventCount,
      end: !this.isAlive
        ? "instance-ended"
        : response.writableEnded
        ? "whole"
        : "connection-closed",
    });
  }

  /** Writes the events and ends the response; returns how many it wrote. */
  async #writeEvents(
    response: ServerResponse,
    events: readonly string[],
  ): Promise<number> {
    for (const [index, event] of events.entries()) {
      await this.#awaitMembers();
      if (response.destroyed) return index;
      response.write(event);
      await new Promise((resolve) => setTimeout(resolve, this.eventPauseMs));
    }
    await this.#awaitMembers();
    if (!response.destroyed) response.end();
    return events.length;
  }

  /** Nothing moves at the head of a replica while a member is silent. */
  async #awaitMembers(): Promise<void> {
    for (const id of this.instance.membership?.members ?? []) {
      await this.#awaitMember(id);
    }
  }
}

function listParts(header: string | readonly string[] | undefined) {
  return String(header).split(",").map((entry) => entry.split(":")[0]!);
}

/** Returns the complete stream that a model instance sends in response to a prompt. */
export function createCompleteStream(
  prompt: string,
  count = DEFAULT_EVENTS,
): string {
  return createEvents(prompt, { firstId: 0, count }).join("");
}

function createEvents(
  prompt: string,
  { firstId, count }: { readonly firstId: number; readonly count: number },
): readonly string[] {
  const ids = Array.from({ length: count }, (_, id) => id).slice(firstId);
  return ids.map((id) => `id: ${id}\ndata: ${prompt} ${id}\n\n`);
}

import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  FakeHttpInstance,
  type FakeHttpInstanceOptions,
  type FakeRequest,
} from "./fake_http_instance.ts";

const SERVICE = "desk";
const SLOTS = 6;
const DEFAULT_WORK_MS = 20;
const FULL_STATUS = 503;

/** Options of an instance of a plain service. */
export interface FakePlainInstanceOptions extends FakeHttpInstanceOptions {
  /** Bodies of requests that crash the instance as it runs them. */
  readonly deadlyBodies: ReadonlySet<string>;
  readonly onCrash: () => void;
}

/** An instance of a plain service, which echoes the request body. */
export class FakePlainInstance extends FakeHttpInstance {
  /** Time that a request takes. */
  workMs = DEFAULT_WORK_MS;
  readonly #options: FakePlainInstanceOptions;
  #running = 0;

  constructor(options: FakePlainInstanceOptions) {
    super(options);
    this.#options = options;
  }

  protected createKindFields(): object {
    return { service: SERVICE, slots: SLOTS, staged: [], models: [] };
  }

  protected async serve(
    request: FakeRequest,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#running >= SLOTS) {
      this.reject(request, response, FULL_STATUS);
      return;
    }
    const { callId, body } = request;
    this.#running += 1;
    this.recordExecution(request);
    await sleep(this.workMs);
    this.#running -= 1;
    if (this.#options.deadlyBodies.has(body.toString())) {
      this.#options.onCrash();
      return;
    }
    await this.awaitVoice();
    const headers = {
      "attempt-id": callId,
      "server-stamp": `stamp-${this.id}`,
      "replica-load": `${this.#running},0,${SLOTS}`,
      ...this.createLeavingHeaders(),
    };
    const fault = this.nextJoinedFault();
    if (fault === undefined) response.writeHead(200, headers).end(body);
    else {
      const pieces = [body.toString()];
      await this.answerJoined(request, response, { fault, headers, pieces });
    }
  }
}

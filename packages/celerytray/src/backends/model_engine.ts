import {
  type EngineOrder,
  type EngineStatus,
  validateEngineStatus,
} from "@celerytray/schema";
import { Data, Effect } from "effect";
import { Agent } from "node:http";
import { requestJson } from "../http/index.ts";

/** The engine did not respond, or its response was not usable. */
export class EngineUnavailable extends Data.TaggedError("EngineUnavailable")<{
  readonly message: string;
}> {}

/** The engine refused an order, for example for its fencing number. */
export class EngineRefused extends Data.TaggedError("EngineRefused")<{
  readonly message: string;
}> {}

/** The control interface of the model engines. */
export interface ModelEngine {
  readStatus(address: string): Effect.Effect<EngineStatus, EngineUnavailable>;
  sendOrder(
    address: string,
    order: EngineOrder,
  ): Effect.Effect<void, EngineUnavailable | EngineRefused>;
}

const DEFAULT_TIMEOUT_MS = 1_000;

/** Controls model engines over their HTTP/JSON protocol. */
export class HttpModelEngine implements ModelEngine {
  readonly #agent = new Agent({ keepAlive: true });
  readonly #timeoutMs: number;

  constructor(options: { readonly timeoutMs?: number } = {}) {
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  readStatus(
    address: string,
  ): Effect.Effect<EngineStatus, EngineUnavailable> {
    const response = requestJson({
      url: `http://${address}/status`,
      agent: this.#agent,
      timeoutMs: this.#timeoutMs,
    });
    return response.pipe(
      Effect.mapError(({ message }) => new EngineUnavailable({ message })),
      Effect.flatMap(parseStatus),
    );
  }

  sendOrder(
    address: string,
    order: EngineOrder,
  ): Effect.Effect<void, EngineUnavailable | EngineRefused> {
    const response = requestJson({
      url: `http://${address}/orders`,
      body: order,
      agent: this.#agent,
      timeoutMs: this.#timeoutMs,
    });
    return response.pipe(
      Effect.mapError(({ reason, message }) =>
        reason === "refused"
          ? new EngineRefused({ message })
          : new EngineUnavailable({ message })
      ),
      Effect.asVoid,
    );
  }
}

function parseStatus(
  body: unknown,
): Effect.Effect<EngineStatus, EngineUnavailable> {
  if (validateEngineStatus(body)) return Effect.succeed(body as EngineStatus);
  return Effect.fail(
    new EngineUnavailable({
      message: "The engine's status is malformed; check the engine's version",
    }),
  );
}

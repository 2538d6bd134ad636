import {
  type Instance,
  type InstanceListAnswer,
  validateInstanceListAnswer,
} from "@celerytray/schema";
import { Data, Effect } from "effect";
import { Agent } from "node:http";
import { requestJson } from "../http/index.ts";

/** The instance list could not be read. */
export class InstanceListUnavailable
  extends Data.TaggedError("InstanceListUnavailable")<{
    readonly message: string;
  }> {}

/** The platform's list of live and leaving instances, which lags behind reality. */
export interface InstanceList {
  read(): Effect.Effect<readonly Instance[], InstanceListUnavailable>;
}

/** Reads the instance list over its HTTP/JSON protocol. */
export class HttpInstanceList implements InstanceList {
  readonly #url: string;
  readonly #agent = new Agent({ keepAlive: true });

  constructor(options: { readonly url: string }) {
    this.#url = options.url;
  }

  read(): Effect.Effect<readonly Instance[], InstanceListUnavailable> {
    const response = requestJson({
      url: `${this.#url}/instances`,
      agent: this.#agent,
    });
    return response.pipe(
      Effect.mapError(({ message }) =>
        new InstanceListUnavailable({ message })
      ),
      Effect.flatMap(parseInstances),
    );
  }
}

function parseInstances(
  body: unknown,
): Effect.Effect<readonly Instance[], InstanceListUnavailable> {
  if (validateInstanceListAnswer(body)) {
    return Effect.succeed((body as InstanceListAnswer).instances);
  }
  return Effect.fail(
    new InstanceListUnavailable({
      message: "The instance list is malformed; check its address",
    }),
  );
}

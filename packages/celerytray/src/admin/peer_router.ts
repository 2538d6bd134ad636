import { type Context, Effect } from "effect";
import type { ConfigUpdate } from "../config/index.ts";
import {
  type ExchangeAnswer,
  type ExchangeMessage,
  parseExchangeMessage,
} from "../membership/index.ts";
import { createProcedure, trpc } from "./admin_procedures.ts";

/** Operations that other entry instances may call on this one. */
export interface PeerOperations {
  readonly exchange: (
    message: ExchangeMessage,
  ) => Effect.Effect<ExchangeAnswer>;
  readonly offerConfig: (update: ConfigUpdate) => Effect.Effect<boolean>;
  /** Whether this instance can reach the one at the address. */
  readonly probe: (address: string) => Effect.Effect<boolean>;
}

/** Creates the procedures between entry instances; they require the peer secret. */
export function createPeerRouter(options: {
  readonly operations: PeerOperations;
  readonly runtime: Context.Context<never>;
}) {
  const { operations } = options;
  const run = Effect.runPromiseWith(options.runtime);
  const peer = createProcedure(["peer"]);
  return trpc.router({
    ping: peer.mutation(() => true),
    exchange: peer.input(parseMessage).mutation(({ input }) =>
      run(operations.exchange(input))
    ),
    offerConfig: peer.input(parseUpdate).mutation(({ input }) =>
      run(operations.offerConfig(input))
    ),
    probe: peer.input(parseAddressInput).mutation(({ input }) =>
      run(operations.probe(input))
    ),
  });
}

function parseMessage(input: unknown): ExchangeMessage {
  const message = parseExchangeMessage(input);
  if (message !== undefined) return message;
  throw new Error(
    "Malformed exchange; run the same version on all entry instances",
  );
}

/** Checks the shape only; the content is checked when it is adopted. */
function parseUpdate(input: unknown): ConfigUpdate {
  const update = input as Partial<ConfigUpdate> | null;
  const isValid = typeof update === "object" && update !== null &&
    Number.isSafeInteger(update.nextOffset) &&
    (update.entries === undefined || Array.isArray(update.entries));
  if (isValid) return update as ConfigUpdate;
  throw new Error(
    "Malformed configuration update; run the same version on all entry instances",
  );
}

function parseAddressInput(input: unknown): string {
  if (typeof input === "string" && /^[0-9.]+:[0-9]+$/.test(input)) {
    return input;
  }
  throw new Error(
    "The address is not IP:PORT; run the same version on all entry instances",
  );
}

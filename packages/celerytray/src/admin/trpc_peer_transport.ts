import { Effect } from "effect";
import type { ConfigUpdate } from "../config/index.ts";
import type {
  ExchangeAnswer,
  ExchangeMessage,
  PeerFailure,
  PeerTransport,
} from "../membership/index.ts";
import { parseExchangeMessage } from "../membership/index.ts";
import type { TimelineEvent, TimelineFilter } from "../timeline/index.ts";
import { type AdminClient, createAdminClient } from "./admin_client.ts";

/** Calls to other entry instances over trpc. */
export class TrpcPeerTransport implements PeerTransport {
  readonly #secret: string;
  readonly #clients = new Map<string, AdminClient>();

  constructor(options: { readonly secret: string }) {
    this.#secret = options.secret;
  }

  exchange(
    address: string,
    message: ExchangeMessage,
  ): Effect.Effect<ExchangeAnswer, PeerFailure> {
    return this.#call(
      address,
      ({ peer }, signal) => peer.exchange.mutate(message, { signal }),
    ).pipe(Effect.flatMap(validateAnswer));
  }

  offerConfig(
    address: string,
    update: ConfigUpdate,
  ): Effect.Effect<void, PeerFailure> {
    return Effect.asVoid(this.#call(
      address,
      ({ peer }, signal) => peer.offerConfig.mutate(update, { signal }),
    ));
  }

  probe(
    address: string,
    targetAddress: string,
  ): Effect.Effect<boolean, PeerFailure> {
    return this.#call(
      address,
      ({ peer }, signal) => peer.probe.mutate(targetAddress, { signal }),
    );
  }

  /** Whether the entry instance responds. */
  ping(address: string): Effect.Effect<boolean, PeerFailure> {
    return this.#call(
      address,
      ({ peer }, signal) => peer.ping.mutate(undefined, { signal }),
    );
  }

  /** Reads the version in force on the entry instance. */
  readVersion(
    address: string,
  ): Effect.Effect<
    { readonly version: number; readonly acceptedAtMs: number },
    PeerFailure
  > {
    return this.#call(
      address,
      ({ status }, signal) => status.query(undefined, { signal }),
    ).pipe(
      Effect.map(({ configVersion, configAcceptedAtMs }) => ({
        version: configVersion,
        acceptedAtMs: configAcceptedAtMs,
      })),
      Effect.timeoutOrElse({
        duration: STATUS_TIMEOUT_MS,
        orElse: () =>
          Effect.fail({
            message: `No response from ${address} in time; check that it is up`,
          }),
      }),
    );
  }

  /** Reads the events kept on the entry instance. */
  readTimeline(
    address: string,
    filter: TimelineFilter,
  ): Effect.Effect<readonly TimelineEvent[], PeerFailure> {
    return this.#call(
      address,
      ({ timeline }, signal) => timeline.query(filter, { signal }),
    ).pipe(
      Effect.timeoutOrElse({
        duration: STATUS_TIMEOUT_MS,
        orElse: () =>
          Effect.fail({
            message: `No response from ${address} in time; check that it is up`,
          }),
      }),
    );
  }

  #call<Value>(
    address: string,
    run: (client: AdminClient, signal: AbortSignal) => Promise<Value>,
  ): Effect.Effect<Value, PeerFailure> {
    return Effect.tryPromise({
      try: (signal) => run(this.#getClient(address), signal),
      catch: (cause) => ({
        message: `The call to the entry instance at ${address} failed: ${
          (cause as Error).message
        }; check that it is up and has the same peer secret`,
      }),
    });
  }

  #getClient(address: string): AdminClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    if (this.#clients.size >= MAX_CLIENTS) this.#clients.clear();
    const client = createAdminClient({ address, token: this.#secret });
    this.#clients.set(address, client);
    return client;
  }
}

const MAX_CLIENTS = 2_000;
const PROBE_TIMEOUT_MS = 500;
const STATUS_TIMEOUT_MS = 1_000;

/** Whether a peer responds within the probe timeout of 500 ms. */
export function probePeer(
  transport: TrpcPeerTransport,
  address: string,
): Effect.Effect<boolean> {
  return transport.ping(address).pipe(
    Effect.timeoutOrElse({
      duration: PROBE_TIMEOUT_MS,
      orElse: () => Effect.succeed(false),
    }),
    Effect.catch(() => Effect.succeed(false)),
  );
}

function validateAnswer(
  answer: ExchangeAnswer,
): Effect.Effect<ExchangeAnswer, PeerFailure> {
  return parseExchangeMessage(answer) === undefined
    ? Effect.fail({
      message:
        "Malformed response of an entry instance; run the same version on all entry instances",
    })
    : Effect.succeed(answer);
}

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
    ).pipe(Effect.flatMap(checkAnswer));
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

  /** Whether an entry instance answers. */
  ping(address: string): Effect.Effect<boolean, PeerFailure> {
    return this.#call(
      address,
      ({ peer }, signal) => peer.ping.mutate(undefined, { signal }),
    );
  }

  /** The version in force there. */
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
            message: `No answer from ${address} in time; check that it is up`,
          }),
      }),
    );
  }

  /** Events kept there. */
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
            message: `No answer from ${address} in time; check that it is up`,
          }),
      }),
    );
  }

  #call<Value>(
    address: string,
    run: (client: AdminClient, signal: AbortSignal) => Promise<Value>,
  ): Effect.Effect<Value, PeerFailure> {
    return Effect.tryPromise({
      try: (signal) => run(this.#connect(address), signal),
      catch: (cause) => ({
        message: `Entry instance at ${address} does not answer: ${
          (cause as Error).message
        }; check that it is up and has the same peer secret`,
      }),
    });
  }

  #connect(address: string): AdminClient {
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

/** Whether a peer answers in time. */
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

function checkAnswer(
  answer: ExchangeAnswer,
): Effect.Effect<ExchangeAnswer, PeerFailure> {
  return parseExchangeMessage(answer) === undefined
    ? Effect.fail({ message: "Malformed answer of an entry instance" })
    : Effect.succeed(answer);
}

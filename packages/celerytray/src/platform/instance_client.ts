import { Effect } from "effect";
import { Agent } from "node:http";
import type { Either } from "purify-ts";
import {
  type InstanceAddress,
  type InstanceControl,
  type InstanceOrder,
  InstanceSilent,
  type OrderAnswer,
  type OrderOutcome,
  type ProbeAnswer,
  type SilenceReason,
} from "../groups/index.ts";
import {
  type CallFailure,
  type HttpResponse,
  sendRequest,
} from "./send_request.ts";
import { decode, parseObject, readNumber } from "./json_fields.ts";
import { HEADER_NAMES, isFlagSet } from "./words.ts";

const ORDER_TIMEOUT_MS = 600;
const PROBE_TIMEOUT_MS = 350;
const OUTCOME_BY_STATUS: Readonly<Record<number, OrderOutcome>> = {
  200: "holds",
  202: "begun",
  409: "unfit",
  412: "outdated",
  421: "elsewhere",
};

/** Sends orders and probes to model instances over the platform's protocol. */
export class InstanceClient implements InstanceControl {
  readonly #agent = new Agent({ keepAlive: true, timeout: 4_000 });

  sendOrder(
    instance: InstanceAddress,
    order: InstanceOrder & { readonly fence: number },
  ): Effect.Effect<OrderAnswer, InstanceSilent> {
    return sendRequest({
      address: instance.address,
      method: "POST",
      path: "/order",
      headers: {
        "content-type": "application/json",
        [HEADER_NAMES.expectedInstance]: instance.id,
      },
      body: Buffer.from(JSON.stringify(encodeOrder(order))),
      timeoutMs: ORDER_TIMEOUT_MS,
      agent: this.#agent,
    }).pipe(
      Effect.mapError(toInstanceSilent),
      Effect.flatMap((answer) => decodeOutcome(answer)),
    );
  }

  probe(
    instance: InstanceAddress,
  ): Effect.Effect<ProbeAnswer, InstanceSilent> {
    return sendRequest({
      address: instance.address,
      method: "GET",
      path: "/report",
      headers: { [HEADER_NAMES.expectedInstance]: instance.id },
      timeoutMs: PROBE_TIMEOUT_MS,
      agent: false,
    }).pipe(
      Effect.mapError(toInstanceSilent),
      Effect.flatMap((answer) =>
        answer.status === MISDIRECTED_STATUS
          ? Effect.fail(
            new InstanceSilent({
              reason: "replaced",
              message: `Another instance answered at ${instance.address}`,
            }),
          )
          : Effect.succeed({
            pace: decodePace(answer.body),
            ...decodeCold(answer.headers[HEADER_NAMES.cold]),
            isLeaving: isLeaving(answer),
          })
      ),
    );
  }
}

const MISDIRECTED_STATUS = 421;

/** The pace is 1, the usual speed, where the report gives none. */
function decodePace(body: Buffer): Either<string, number> {
  return parseObject(body.toString()).chain((report) =>
    decode(() => readNumber(report, "pace", 1))
  );
}

/**
 * Returns NaN for a header that is not a number, so that the caller can report
 * it; the instance then counts as one with the usual cold start.
 */
function decodeCold(
  value: string | readonly string[] | undefined,
): { readonly coldMs?: number } {
  if (value === undefined) return {};
  const text = [value].flat().join().trim();
  return { coldMs: text === "" ? Number.NaN : Number(text) };
}

function encodeOrder(order: InstanceOrder & { readonly fence: number }) {
  const { fence } = order;
  switch (order.kind) {
    case "join":
      return {
        op: "join",
        group: order.replica,
        epoch: order.epoch,
        model: order.model,
        members: order.members,
        fence,
      };
    case "close":
      return {
        op: "close",
        group: order.replica,
        epoch: order.epoch,
        close_mode: order.isImmediate ? "preempt" : "wait",
        fence,
      };
    case "open":
    case "leave":
      return {
        op: order.kind,
        group: order.replica,
        epoch: order.epoch,
        fence,
      };
    case "stage":
      return { op: "stage", model: order.model, fence };
  }
}

function decodeOutcome(
  answer: HttpResponse,
): Effect.Effect<OrderAnswer, InstanceSilent> {
  const outcome = OUTCOME_BY_STATUS[answer.status];
  if (outcome !== undefined) {
    return Effect.succeed({ outcome, isLeaving: isLeaving(answer) });
  }
  return Effect.fail(
    new InstanceSilent({
      reason: "unanswered",
      message: `The instance answered ${answer.status}: ${
        answer.body.toString("utf8", 0, 200)
      }`,
    }),
  );
}

function isLeaving(answer: HttpResponse): boolean {
  return isFlagSet(answer.headers[HEADER_NAMES.leaving]);
}

function toInstanceSilent(failure: CallFailure): InstanceSilent {
  return new InstanceSilent({
    message: failure.message,
    reason: SILENCE_REASONS[failure.reason],
  });
}

const SILENCE_REASONS: Readonly<
  Record<CallFailure["reason"], SilenceReason>
> = {
  refused: "refused",
  "not-sent": "unreachable",
  "reset": "unanswered",
  "answer-lost": "unanswered",
};

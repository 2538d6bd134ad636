import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { isHopByHopHeader } from "../http/index.ts";
import type {
  AttemptHeaders,
  CallCodec,
  CallHeaders,
  InstanceLoad,
  RelayedCall,
  RelayHeaders,
  ResponseHeaders,
} from "../serving/index.ts";
import { HEADER_NAMES, isFlagSet } from "./words.ts";

/** Request headers that each attempt replaces with its own values. */
const REPLACED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  HEADER_NAMES.deadline,
  HEADER_NAMES.expectedInstance,
  HEADER_NAMES.apiKey,
  HEADER_NAMES.priority,
  HEADER_NAMES.lastEventId,
  HEADER_NAMES.tenant,
  HEADER_NAMES.attemptsLeft,
  "content-length",
]);
/** Response headers that are meant for this system, or that it sets itself. */
const STRIPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  HEADER_NAMES.load,
  HEADER_NAMES.ownAnswer,
  "content-length",
]);

/** Decodes and encodes the platform's HTTP/1.1 headers. */
export class PlatformCallCodec implements CallCodec {
  decodeCall(request: IncomingMessage): Either<string, CallHeaders> {
    const id = readSingleHeader(request, HEADER_NAMES.callId);
    if (id === undefined) return Left("The attempt-id header must occur once");
    const host = request.headers.host;
    if (host === undefined) return Left("The request has no host header");
    const timeoutMs = readIntegerHeader(request, HEADER_NAMES.deadline);
    if (Number.isNaN(timeoutMs)) return Left("deadline-ms must be an integer");
    const lastEventId = readIntegerHeader(request, HEADER_NAMES.lastEventId);
    const key = readSingleHeader(request, HEADER_NAMES.apiKey);
    const model = readSingleHeader(request, HEADER_NAMES.model);
    const target = request.url ?? "/";
    const queryStart = target.indexOf("?");
    return Right({
      id,
      method: request.method ?? "GET",
      host: host.toLowerCase(),
      target,
      path: queryStart < 0 ? target : target.slice(0, queryStart),
      forwardedHeaders: selectForwardedHeaders(
        request,
        REPLACED_REQUEST_HEADERS,
      ),
      ...(timeoutMs === undefined ? {} : { callerTimeoutMs: timeoutMs }),
      ...(key === undefined ? {} : { key }),
      ...(model === undefined ? {} : { model }),
      ...decodeTokenCount(readSingleHeader(request, HEADER_NAMES.tokenCount)),
      ...decodePromptParts(readSingleHeader(request, HEADER_NAMES.promptParts)),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    });
  }

  encodeAttempt(call: CallHeaders, attempt: AttemptHeaders): string[] {
    const encoded = [
      ...call.forwardedHeaders,
      "Deadline-Ms",
      String(Math.max(1, Math.floor(attempt.remainingMs))),
      "Expect-Instance",
      attempt.instanceId,
    ];
    if (attempt.tenant !== undefined) encoded.push("Tenant", attempt.tenant);
    if (attempt.priority !== undefined) {
      encoded.push("Request-Priority", String(attempt.priority));
    }
    if (attempt.lastEventId !== undefined) {
      encoded.push("Last-Event-Id", String(attempt.lastEventId));
    }
    if (attempt.bodyBytes > 0 || call.method !== "GET") {
      encoded.push("Content-Length", String(attempt.bodyBytes));
    }
    return encoded;
  }

  decodeRelay(request: IncomingMessage): RelayedCall | undefined {
    if (request.headers[HEADER_NAMES.attemptsLeft] === undefined) return;
    const attempts = readIntegerHeader(request, HEADER_NAMES.attemptsLeft) ?? 1;
    return { attemptsLeft: attempts >= 1 ? attempts : 1 };
  }

  encodeRelayed(call: CallHeaders, relay: RelayHeaders): string[] {
    const encoded = [
      ...call.forwardedHeaders,
      HEADER_NAMES.attemptsLeft,
      String(relay.attemptsLeft),
    ];
    if (relay.callerTimeoutMs !== undefined) {
      const timeoutMs = Math.max(1, Math.floor(relay.callerTimeoutMs));
      encoded.push("Deadline-Ms", String(timeoutMs));
    }
    if (call.key !== undefined) encoded.push("X-Api-Key", call.key);
    if (relay.lastEventId !== undefined) {
      encoded.push("Last-Event-Id", String(relay.lastEventId));
    }
    if (relay.bodyBytes > 0 || call.method !== "GET") {
      encoded.push("Content-Length", String(relay.bodyBytes));
    }
    return encoded;
  }

  encodeLocalHeaders(
    callId: string | undefined,
    { isRelayed = false }: { readonly isRelayed?: boolean } = {},
  ): string[] {
    return [
      ...(callId === undefined ? [] : ["Attempt-Id", callId]),
      ...(isRelayed ? [HEADER_NAMES.ownAnswer, "1"] : []),
    ];
  }

  decodeResponse(response: IncomingMessage): ResponseHeaders {
    const callId = readSingleHeader(response, HEADER_NAMES.callId);
    const load = decodeLoad(readSingleHeader(response, HEADER_NAMES.load));
    const backoff = decodeBackoff(response);
    const limit = decodeLimit(response);
    const encoding = response.headers["content-encoding"];
    const status = response.statusCode ?? 0;
    return {
      status,
      isNotRun: response.headers[HEADER_NAMES.notRun] !== undefined ||
        status === MISDIRECTED_STATUS,
      isOwnAnswer: response.headers[HEADER_NAMES.ownAnswer] !== undefined,
      isLeaving: isFlagSet(response.headersDistinct[HEADER_NAMES.leaving]),
      hasServerStamp: response.headers[HEADER_NAMES.stamp] !== undefined,
      isEncoded: encoding !== undefined && encoding !== "identity",
      isEventStream: (response.headers["content-type"] ?? "").startsWith(
        "text/event-stream",
      ),
      forwardedHeaders: selectForwardedHeaders(
        response,
        STRIPPED_RESPONSE_HEADERS,
      ),
      ...(callId === undefined ? {} : { callId }),
      ...(load === undefined ? {} : { load }),
      ...limit,
      ...backoff,
    };
  }
}

const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;

/** A number with an optional fraction, short enough to be held exactly. */
const DECIMAL_PATTERN = /^[0-9]{1,12}(?:\.[0-9]{1,12})?$/;

/**
 * Decodes the retry-after header of a 503: the time for which the instance
 * takes no further requests from this machine.
 */
function decodeBackoff(
  response: IncomingMessage,
): Pick<ResponseHeaders, "backoffMs" | "malformed"> {
  const values = response.headersDistinct[HEADER_NAMES.retryAfter];
  if (response.statusCode !== UNAVAILABLE_STATUS || values === undefined) {
    return {};
  }
  const [text = ""] = values;
  if (values.length > 1 || !DECIMAL_PATTERN.test(text)) {
    const shown = values.join().slice(0, MAX_SHOWN_CHARACTERS);
    return {
      malformed: `${HEADER_NAMES.retryAfter} is ${shown}, not in seconds`,
    };
  }
  return { backoffMs: Number(text) * 1000 };
}

/**
 * Decodes the header that names the requests a second which the instance takes
 * from all machines together.
 */
function decodeLimit(
  response: IncomingMessage,
): Pick<ResponseHeaders, "hasLimit" | "limitPerSecond" | "malformed"> {
  const values = response.headersDistinct[HEADER_NAMES.limit];
  if (values === undefined) return { hasLimit: false };
  const [text = ""] = values;
  if (values.length > 1 || !DECIMAL_PATTERN.test(text)) {
    const shown = values.join().slice(0, MAX_SHOWN_CHARACTERS);
    return {
      hasLimit: true,
      malformed: `${HEADER_NAMES.limit} is ${shown}, not requests a second`,
    };
  }
  return { hasLimit: true, limitPerSecond: Number(text) };
}

/** Length to which a malformed value is cut for the log. */
const MAX_SHOWN_CHARACTERS = 40;

function readSingleHeader(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const values = message.headersDistinct[name];
  return values?.length === 1 && values[0] !== "" ? values[0] : undefined;
}

/** Returns NaN if the header is not a whole number. */
function readIntegerHeader(
  message: IncomingMessage,
  name: string,
): number | undefined {
  const text = readSingleHeader(message, name);
  if (text === undefined) return undefined;
  return /^[0-9]{1,9}$/.test(text) ? Number(text) : Number.NaN;
}

/** Omits malformed counts, which serve only to estimate the work. */
function decodeTokenCount(
  text: string | undefined,
): Pick<CallHeaders, "promptTokens" | "maxAnswerTokens"> {
  const [, prompt, answer] = TOKEN_COUNTS_PATTERN.exec(text ?? "") ?? [];
  return prompt === undefined || answer === undefined
    ? {}
    : { promptTokens: Number(prompt), maxAnswerTokens: Number(answer) };
}

/** Reads the ids of entries ID:TOKENS; entries without an id are left out. */
function decodePromptParts(
  text: string | undefined,
): Pick<CallHeaders, "promptParts"> {
  if (text === undefined) return {};
  const promptParts = text.split(",", MAX_PROMPT_PARTS)
    .map((entry) => entry.split(":", 1)[0]!.trim().toLowerCase())
    .filter((part) => part !== "");
  return { promptParts };
}

/** Parts of a prompt that are read; headers of the usual size hold fewer. */
const MAX_PROMPT_PARTS = 256;

/** Tokens of the prompt, and the maximum number of tokens to generate. */
const TOKEN_COUNTS_PATTERN = /^([0-9]{1,9}),([0-9]{1,9})$/;

function decodeLoad(text: string | undefined): InstanceLoad | undefined {
  const [running, waiting, slots] = (text ?? "").split(",").map(Number);
  if (!(running! >= 0 && waiting! >= 0 && slots! > 0)) return undefined;
  return { running: running!, waiting: waiting!, slots: slots! };
}

function selectForwardedHeaders(
  message: IncomingMessage,
  excluded: ReadonlySet<string>,
): readonly string[] {
  const connectionHeaders = new Set(
    (message.headers.connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  const forwarded: string[] = [];
  const { rawHeaders } = message;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (
      isHopByHopHeader(name) || excluded.has(name) ||
      connectionHeaders.has(name)
    ) {
      continue;
    }
    forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return forwarded;
}

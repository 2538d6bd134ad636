import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { isHopByHopHeader } from "../http/index.ts";
import type {
  AttemptHeaders,
  CallCodec,
  CallHeaders,
  InstanceLoad,
  ResponseHeaders,
} from "../serving/index.ts";
import { HEADER_NAMES, isFlagSet } from "./words.ts";

/** Set anew for each attempt. */
const REPLACED_ON_REQUESTS: ReadonlySet<string> = new Set([
  HEADER_NAMES.deadline,
  HEADER_NAMES.expectedInstance,
  HEADER_NAMES.apiKey,
  HEADER_NAMES.priority,
  HEADER_NAMES.resumeAfter,
  HEADER_NAMES.tenant,
  "content-length",
]);
/** Meant for this system, or set anew. */
const REPLACED_ON_ANSWERS: ReadonlySet<string> = new Set([
  HEADER_NAMES.load,
  "content-length",
]);

/** The platform's requests and answers over HTTP/1.1. */
export class PlatformCallCodec implements CallCodec {
  decodeCall(request: IncomingMessage): Either<string, CallHeaders> {
    const id = readSingle(request, HEADER_NAMES.callId);
    if (id === undefined) return Left("The request has no single id");
    const host = request.headers.host;
    if (host === undefined) return Left("The request has no host");
    const budgetMs = readWholeNumber(request, HEADER_NAMES.deadline);
    if (Number.isNaN(budgetMs)) return Left("The time budget is no number");
    const resumeAfter = readWholeNumber(request, HEADER_NAMES.resumeAfter);
    const key = readSingle(request, HEADER_NAMES.apiKey);
    const model = readSingle(request, HEADER_NAMES.model);
    const target = request.url ?? "/";
    const queryStart = target.indexOf("?");
    return Right({
      id,
      method: request.method ?? "GET",
      host: host.toLowerCase(),
      target,
      path: queryStart < 0 ? target : target.slice(0, queryStart),
      forwardedHeaders: selectPassed(request, REPLACED_ON_REQUESTS),
      ...(budgetMs === undefined ? {} : { callerTimeoutMs: budgetMs }),
      ...(key === undefined ? {} : { key }),
      ...(model === undefined ? {} : { model }),
      ...decodeTokenCount(readSingle(request, HEADER_NAMES.tokenCount)),
      ...(resumeAfter === undefined || Number.isNaN(resumeAfter)
        ? {}
        : { lastEventId: resumeAfter }),
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

  encodeLocalHeaders(callId: string | undefined): string[] {
    return callId === undefined ? [] : ["Attempt-Id", callId];
  }

  decodeResponse(response: IncomingMessage): ResponseHeaders {
    const callId = readSingle(response, HEADER_NAMES.callId);
    const load = decodeLoad(readSingle(response, HEADER_NAMES.load));
    const backoff = decodeBackoff(response);
    const encoding = response.headers["content-encoding"];
    const status = response.statusCode ?? 0;
    return {
      status,
      isNotRun: response.headers[HEADER_NAMES.notRun] !== undefined ||
        status === MISDIRECTED_STATUS,
      isLeaving: isFlagSet(response.headersDistinct[HEADER_NAMES.leaving]),
      hasServerStamp: response.headers[HEADER_NAMES.stamp] !== undefined,
      isEncoded: encoding !== undefined && encoding !== "identity",
      isEventStream: (response.headers["content-type"] ?? "").startsWith(
        "text/event-stream",
      ),
      forwardedHeaders: selectPassed(response, REPLACED_ON_ANSWERS),
      ...(callId === undefined ? {} : { callId }),
      ...(load === undefined ? {} : { load }),
      ...backoff,
    };
  }
}

const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;

/** Seconds with an optional fraction, of a length that fits a number. */
const SECONDS = /^[0-9]{1,12}(?:\.[0-9]{1,12})?$/;

/** The time for which an instance wants no more requests from this machine. */
function decodeBackoff(
  response: IncomingMessage,
): Pick<ResponseHeaders, "backoffMs" | "malformed"> {
  const values = response.headersDistinct[HEADER_NAMES.retryAfter];
  if (response.statusCode !== UNAVAILABLE_STATUS || values === undefined) {
    return {};
  }
  const [text = ""] = values;
  if (values.length > 1 || !SECONDS.test(text)) {
    const shown = values.join().slice(0, MAX_SHOWN_CHARACTERS);
    return {
      malformed: `${HEADER_NAMES.retryAfter} is ${shown}, not in seconds`,
    };
  }
  return { backoffMs: Number(text) * 1000 };
}

/** Characters of a malformed value that are logged. */
const MAX_SHOWN_CHARACTERS = 40;

function readSingle(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const values = message.headersDistinct[name];
  return values?.length === 1 && values[0] !== "" ? values[0] : undefined;
}

/** NaN for what is no whole number. */
function readWholeNumber(
  message: IncomingMessage,
  name: string,
): number | undefined {
  const text = readSingle(message, name);
  if (text === undefined) return undefined;
  return /^[0-9]{1,9}$/.test(text) ? Number(text) : Number.NaN;
}

/** Counts that can't be read are left out; they only help to estimate. */
function decodeTokenCount(
  text: string | undefined,
): Pick<CallHeaders, "promptTokens" | "maxAnswerTokens"> {
  const [, prompt, answer] = TOKEN_COUNTS.exec(text ?? "") ?? [];
  return prompt === undefined || answer === undefined
    ? {}
    : { promptTokens: Number(prompt), maxAnswerTokens: Number(answer) };
}

/** Tokens of the prompt and most tokens of the answer. */
const TOKEN_COUNTS = /^([0-9]{1,9}),([0-9]{1,9})$/;

function decodeLoad(text: string | undefined): InstanceLoad | undefined {
  const [running, waiting, slots] = (text ?? "").split(",").map(Number);
  if (!(running! >= 0 && waiting! >= 0 && slots! > 0)) return undefined;
  return { running: running!, waiting: waiting!, slots: slots! };
}

function selectPassed(
  message: IncomingMessage,
  replaced: ReadonlySet<string>,
): readonly string[] {
  const named = new Set(
    (message.headers.connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  const passed: string[] = [];
  const { rawHeaders } = message;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (isHopByHopHeader(name) || replaced.has(name) || named.has(name)) {
      continue;
    }
    passed.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return passed;
}

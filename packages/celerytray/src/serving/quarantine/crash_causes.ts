import { createHash } from "node:crypto";
import type { CallHeaders } from "../call.ts";

/** Length of an id of a cause; longer ids of parts are not tracked. */
export const MAX_CAUSE_ID_CHARACTERS = 64;
/** Begins the id of a whole request; ids of parts are hexadecimal. */
const REQUEST_PREFIX = "request:";

/**
 * Lists the parts of a prompt that may crash an instance: all but the last,
 * which no other prompt has.
 */
export function listSharedParts(
  parts: readonly string[] = [],
): readonly string[] {
  return parts.slice(0, -1).filter((part) =>
    part.length <= MAX_CAUSE_ID_CHARACTERS && !isRequestCause(part)
  );
}

/** A call, as far as it tells what may crash instances. */
export interface CauseSource {
  readonly headers: CallHeaders;
  readonly tenant?: string;
  readonly body: Buffer;
}

/** Whether a cause is a whole request, as opposed to a part of a prompt. */
export function isRequestCause(cause: string): boolean {
  return cause.startsWith(REQUEST_PREFIX);
}

/**
 * What may crash the instances that work on a call: a shared part of its prompt,
 * or the whole request, which may come again as it is.
 */
export class CallCauses {
  readonly #call: CauseSource;
  readonly #parts: readonly string[];
  #request: string | undefined;

  constructor(call: CauseSource) {
    this.#call = call;
    this.#parts = listSharedParts(call.headers.promptParts);
  }

  /** All causes; the request is hashed at the first use. */
  get all(): readonly string[] {
    this.#request ??= describeRequest(this.#call);
    return [...this.#parts, this.#request];
  }

  /** The causes that can be suspected or cleared now. */
  listWatched(
    { watchesRequests }: { readonly watchesRequests: boolean },
  ): readonly string[] {
    return watchesRequests ? this.all : this.#parts;
  }
}

/**
 * Identifies a request by a hash of everything that it asks for and of its
 * organisation. Neither can be read from it, and the request of another
 * organisation never has the same.
 */
function describeRequest(
  { headers, tenant, body }: CauseSource,
): string {
  const { method, host, target, model, promptTokens } = headers;
  const { promptParts, maxAnswerTokens } = headers;
  const fields = [
    tenant,
    method,
    host,
    target,
    model,
    promptTokens,
    promptParts,
    maxAnswerTokens,
  ];
  const digest = createHash("sha256")
    .update(JSON.stringify(fields))
    .update("\n")
    .update(body)
    .digest("base64url");
  return `${REQUEST_PREFIX}${digest}`;
}

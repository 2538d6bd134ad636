import type { CallHeaders } from "../call.ts";
import type { LocalResponse } from "../exchange/index.ts";
import { isRequestCause, listSharedParts } from "./crash_causes.ts";
import type { CrashQuarantine, QuarantineRefusal } from "./crash_quarantine.ts";

/** Only the operator's release changes the answer. */
const QUARANTINED_RETRY_AFTER_MS = 60_000;
/** Time in which a trial of a held part is granted and decided. */
const HELD_RETRY_AFTER_MS = 1_500;
/** Time in which a starting process learns what is in quarantine. */
const NOT_LOADED_RETRY_AFTER_MS = 200;

/** Describes the refusal of a request for what crashes replicas. */
export function describeQuarantineRefusal(
  { kind, part, crashes }: QuarantineRefusal,
): { readonly message: string; readonly retryAfterMs: number } {
  const isRequest = isRequestCause(part);
  const subject = isRequest ? "The request" : `Part ${part} of the prompt`;
  const reason = isRequest
    ? `as ${crashes} back ends crashed when they ran it`
    : `as ${crashes} replicas crashed when they began to answer prompts with it`;
  const remedy = isRequest
    ? `ask the operator to release ${part}`
    : "leave it out or ask the operator to release it";
  return kind === "quarantined"
    ? {
      message: `${subject} is in quarantine, ${reason}; ${remedy}`,
      retryAfterMs: QUARANTINED_RETRY_AFTER_MS,
    }
    : {
      message: `${subject} is held back, ${reason}`,
      retryAfterMs: HELD_RETRY_AFTER_MS,
    };
}

/**
 * Refuses a request at its arrival for a part of its prompt. Held parts are
 * decided later, as this process may have permission to try one, and whole
 * requests once their bodies have been read.
 */
export function refuseIfQuarantined(
  { promptParts }: CallHeaders,
  quarantine: CrashQuarantine,
  nowMs: number,
): LocalResponse | undefined {
  if (!quarantine.isLoaded) {
    return {
      status: 503,
      message:
        "It is not known yet which requests crash back ends; the request was not run",
      retryAfterMs: NOT_LOADED_RETRY_AFTER_MS,
    };
  }
  const verdict = quarantine.assess(listSharedParts(promptParts), nowMs);
  if (verdict.kind !== "quarantined") return undefined;
  const { message, retryAfterMs } = describeQuarantineRefusal(verdict);
  return { status: 503, message: `${message}; it was not run`, retryAfterMs };
}

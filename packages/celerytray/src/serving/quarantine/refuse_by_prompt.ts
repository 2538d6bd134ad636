import type { CallHeaders } from "../call.ts";
import type { LocalResponse } from "../caller_exchange.ts";
import type { PromptQuarantine, PromptRefusal } from "./prompt_quarantine.ts";

/** Only the operator's release changes the answer. */
const QUARANTINED_RETRY_AFTER_MS = 60_000;
/** Time in which a trial of a held part is granted and decided. */
const HELD_RETRY_AFTER_MS = 1_500;
/** Time in which a starting process learns which parts are in quarantine. */
const NOT_LOADED_RETRY_AFTER_MS = 200;

/** Describes the refusal of a request for a part of its prompt. */
export function describePromptRefusal(
  { kind, part, crashes }: PromptRefusal,
): { readonly message: string; readonly retryAfterMs: number } {
  return kind === "quarantined"
    ? {
      message:
        `Part ${part} of the prompt is in quarantine, as ${crashes} replicas crashed when they began to answer prompts with it; leave it out or ask the operator to release it`,
      retryAfterMs: QUARANTINED_RETRY_AFTER_MS,
    }
    : {
      message:
        `Part ${part} of the prompt is held back, as ${crashes} replicas crashed when they began to answer prompts with it`,
      retryAfterMs: HELD_RETRY_AFTER_MS,
    };
}

/**
 * Refuses a request at its arrival for a part of its prompt. Held parts are
 * decided later, as this process may have permission to try one.
 */
export function refuseByPrompt(
  { promptParts = [] }: CallHeaders,
  quarantine: PromptQuarantine,
  nowMs: number,
): LocalResponse | undefined {
  if (promptParts.length < 2) return undefined;
  if (!quarantine.isLoaded) {
    return {
      status: 503,
      message:
        "It is not known yet which prompts crash replicas; the request was not run",
      retryAfterMs: NOT_LOADED_RETRY_AFTER_MS,
    };
  }
  const verdict = quarantine.assess(promptParts, nowMs);
  if (verdict.kind !== "quarantined") return undefined;
  const { message, retryAfterMs } = describePromptRefusal(verdict);
  return { status: 503, message: `${message}; it was not run`, retryAfterMs };
}

import type { AdmittedCall } from "./call_context.ts";
import type { CallerExchange } from "./exchange/index.ts";

interface BegunStreamOptions {
  readonly call: Pick<AdmittedCall, "isRelayed">;
  readonly exchange: Pick<CallerExchange, "hasStarted">;
}

/**
 * Whether a stream to the caller has begun that this process has to complete. One
 * that another process relayed here goes back to it instead, which may try others.
 */
export function mustComplete({ call, exchange }: BegunStreamOptions): boolean {
  return exchange.hasStarted && !call.isRelayed;
}

/** Refusals after which a begun stream pauses before each further try. */
const MAX_QUICK_REFUSALS = 2;
/** Such a pause; what is refused draws on the retry budget of all processes. */
const REFUSAL_PAUSE_MS = 600;
/** Time after which a begun stream asks the same replica or gateway again. */
export const ASK_AGAIN_AFTER_MS = 500;

/** Times at which a request was refused or could not be delivered. */
export class Refusals {
  #count = 0;
  #lastAtMs = Number.NEGATIVE_INFINITY;

  note(nowMs: number): void {
    this.#count += 1;
    this.#lastAtMs = nowMs;
  }

  /** Whether a begun stream has to pause before its next try. */
  mustPause(nowMs: number): boolean {
    return this.#count >= MAX_QUICK_REFUSALS &&
      nowMs - this.#lastAtMs < REFUSAL_PAUSE_MS;
  }
}

import { Deferred, Effect } from "effect";
import { type Either, Left, Right } from "purify-ts";
import { AnswerTimes } from "./answer_times.ts";
import type { LocalResponse } from "./exchange/index.ts";
import type { ServingRoute } from "./serving_config.ts";

/** Room for answers that take longer than any of the last ones. */
const ANSWER_TIME_FACTOR = 1.25;
/** Short, as other machines serve at once. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** What tells how long a request may take. */
interface Timed {
  readonly route: Pick<ServingRoute, "name">;
  readonly deadlineAtMs: number;
}

/**
 * The stop of a process. Requests that may not be answered before its end are
 * refused before they are passed on, while another process can serve them. What
 * was passed on and isn't back gets a final answer at the end.
 */
export class GracefulStop {
  readonly #answerTimes = new AnswerTimes();
  readonly #ended = Deferred.makeUnsafe<void>();
  /** Undefined as long as the process is not stopping. */
  #endsAtMs: number | undefined;

  /** Begins the stop; requests are answered until `endsAtMs`. */
  begin(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }

  /** Refuses all requests that are not passed on yet. */
  refuseAll(): void {
    this.#endsAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Gives the requests that are not answered yet their final answers. */
  end(): void {
    Deferred.doneUnsafe(this.#ended, Effect.void);
  }

  awaitEnd(): Effect.Effect<void> {
    return Deferred.await(this.#ended);
  }

  /** Records how long a request of a route took until it was answered. */
  noteAnswered(route: string, durationMs: number, nowMs: number): void {
    this.#answerTimes.note(route, { durationMs, nowMs });
  }

  /**
   * Whether a request that is passed on now may be without an answer at the
   * end, by the longest of the last answers, or else by its deadline.
   */
  isTooLate({ route, deadlineAtMs }: Timed, nowMs: number): boolean {
    if (this.#endsAtMs === undefined) return false;
    const longestMs = this.#answerTimes.findLongestMs(route.name, nowMs);
    const answeredAtMs = longestMs === undefined
      ? deadlineAtMs
      : Math.min(deadlineAtMs, nowMs + longestMs * ANSWER_TIME_FACTOR);
    return answeredAtMs > this.#endsAtMs;
  }

  /** Refuses a request that comes too late in the stop. */
  admit<Call extends Timed>(
    call: Call,
    nowMs: number,
  ): Either<LocalResponse, Call> {
    return this.isTooLate(call, nowMs) ? Left(STOPPING_RESPONSE) : Right(call);
  }
}

const STOPPING_RESPONSE: LocalResponse = {
  status: 503,
  message: "This process is stopping; the request was not run",
  retryAfterMs: STOPPING_RETRY_AFTER_MS,
  closesConnection: true,
};

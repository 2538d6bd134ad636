import { type Either, Left, Right } from "purify-ts";
import type { CallOutcomeState } from "./caller_error.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Load of an attempt after one that did not run. */
export const NOT_RUN_COST_REQUESTS = 0.1;

/** Why no further attempt is made. */
export type GiveUpReason = "attempts" | "budget" | "deadline";

/** Options of one request's attempts. */
export interface AttemptPlanOptions {
  readonly budget: RetryBudget;
  /** Time after which no attempt starts. */
  readonly deadlineAtMs: () => number;
  readonly maxAttempts?: number;
}

const DEFAULT_MAX_ATTEMPTS = 3;

/** Decides whether one request may be attempted once more. */
export class AttemptPlan {
  /** Back ends attempted so far. */
  readonly tried = new Set<string>();
  readonly #options: AttemptPlanOptions;
  #outcome: CallOutcomeState = "not-run";

  constructor(options: AttemptPlanOptions) {
    this.#options = options;
    options.budget.noteRequest();
  }

  /** What is known of the request over all its attempts. */
  get outcome(): CallOutcomeState {
    return this.#outcome;
  }

  /** Allows an attempt that adds the given load; the first adds none. */
  allow(
    costRequests: number,
    nowMs: number,
  ): Either<GiveUpReason, void> {
    const { budget, deadlineAtMs, maxAttempts } = this.#options;
    if (nowMs >= deadlineAtMs()) return Left("deadline");
    if (this.tried.size === 0) return Right(undefined);
    if (this.tried.size >= (maxAttempts ?? DEFAULT_MAX_ATTEMPTS)) {
      return Left("attempts");
    }
    if (!budget.trySpend(costRequests)) return Left("budget");
    return Right(undefined);
  }

  /** Takes note of what one attempt came to; the most that may have run counts. */
  noteOutcome(outcome: CallOutcomeState): void {
    if (outcome === "ran" || this.#outcome === "not-run") {
      this.#outcome = outcome;
    }
  }
}

import { type Either, Left, Right } from "purify-ts";
import type { CallOutcomeState } from "./caller_error.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Load, in requests, of an attempt that follows one that did not run. */
export const NOT_RUN_COST_REQUESTS = 0.1;

/** The limit that rules out a further attempt. */
export type GiveUpReason = "attempts" | "budget" | "deadline";

/** Options of an attempt plan. */
export interface AttemptPlanOptions {
  readonly budget: RetryBudget;
  /** Time from which no attempt starts; read at each attempt. */
  readonly deadlineAtMs: () => number;
  readonly maxAttempts?: number;
}

const DEFAULT_MAX_ATTEMPTS = 3;

/** Limits the attempts of one request by count, retry budget and deadline. */
export class AttemptPlan {
  /** Ids of the back ends attempted so far. */
  readonly triedIds = new Set<string>();
  readonly #options: AttemptPlanOptions;
  #outcome: CallOutcomeState = "not-run";

  constructor(options: AttemptPlanOptions) {
    this.#options = options;
    options.budget.noteRequest();
  }

  /** Outcome of the request over all its attempts. */
  get outcome(): CallOutcomeState {
    return this.#outcome;
  }

  /**
   * Reserves the budget for an attempt that adds the given load, or returns the
   * limit that forbids it. The first attempt needs no budget.
   */
  tryReserve(
    costRequests: number,
    nowMs: number,
  ): Either<GiveUpReason, void> {
    const { budget, deadlineAtMs, maxAttempts } = this.#options;
    if (nowMs >= deadlineAtMs()) return Left("deadline");
    if (this.triedIds.size === 0) return Right(undefined);
    if (this.triedIds.size >= (maxAttempts ?? DEFAULT_MAX_ATTEMPTS)) {
      return Left("attempts");
    }
    if (!budget.trySpend(costRequests)) return Left("budget");
    return Right(undefined);
  }

  /** Records an attempt's outcome: `ran` over `unknown` over `not-run`. */
  noteOutcome(outcome: CallOutcomeState): void {
    if (outcome === "ran" || this.#outcome === "not-run") {
      this.#outcome = outcome;
    }
  }
}

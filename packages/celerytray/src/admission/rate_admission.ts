import type { Organisation } from "@celerytray/schema";
import { Data } from "effect";
import { type Either, Left, Right } from "purify-ts";

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly organisationName: string;
  readonly organisation: Organisation;
  readonly nowMs: number;
}

/** A request was refused before any part of it ran. */
export class AdmissionRefused extends Data.TaggedError("AdmissionRefused")<{
  readonly reason: "rate" | "overloaded";
  readonly retryAfterMs: number;
  readonly message: string;
}> {}

/** Decides whether a request is admitted. */
export interface Admission {
  admit(request: AdmissionRequest): Either<AdmissionRefused, void>;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Limits each organisation to this entry instance's share of its request rate,
 * with a token bucket.
 */
export class RateAdmission implements Admission {
  readonly #buckets = new Map<string, Bucket>();
  readonly #shareOf: (organisationName: string) => number;

  /**
   * `shareOf` returns this entry instance's share of an organisation's limit, 0
   * to 1.
   */
  constructor(options: { readonly shareOf: (name: string) => number }) {
    this.#shareOf = options.shareOf;
  }

  admit(request: AdmissionRequest): Either<AdmissionRefused, void> {
    const { requestsPerSecond } = request.organisation;
    if (requestsPerSecond === undefined) return Right(undefined);
    const share = this.#shareOf(request.organisationName);
    const rate = requestsPerSecond * share;
    const burst = request.organisation.burstRequests ?? requestsPerSecond;
    const capacity = Math.max(1, burst * share);
    const bucket = this.#refillBucket(request, { rate, capacity });
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return Right(undefined);
    }
    const retryAfterMs = Math.ceil((1 - bucket.tokens) / rate * MS_PER_SECOND);
    return Left(
      new AdmissionRefused({
        reason: "rate",
        retryAfterMs,
        message:
          `Organisation ${request.organisationName} is over its request rate; retry after ${retryAfterMs} ms`,
      }),
    );
  }

  #refillBucket(
    request: AdmissionRequest,
    limit: { readonly rate: number; readonly capacity: number },
  ): Bucket {
    const { organisationName, nowMs } = request;
    let bucket = this.#buckets.get(organisationName);
    if (bucket === undefined) {
      bucket = { tokens: limit.capacity, filledAtMs: nowMs };
      this.#buckets.set(organisationName, bucket);
    }
    const elapsedMs = Math.max(0, nowMs - bucket.filledAtMs);
    const refill = elapsedMs * limit.rate / MS_PER_SECOND;
    bucket.tokens = Math.min(limit.capacity, bucket.tokens + refill);
    bucket.filledAtMs = nowMs;
    return bucket;
  }
}

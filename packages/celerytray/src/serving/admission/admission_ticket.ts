import type { OrderedRequest } from "./waiting_order.ts";

/** A request for a model. */
export interface AdmissionRequest extends OrderedRequest {
  readonly requestId: string;
}

/** Why a request is refused, and what the decision was made from. */
export interface AdmissionRefusal {
  readonly reason: "no-time" | "time-over";
  readonly retryAfterMs: number;
  readonly limit: number;
  readonly waiting: number;
  readonly inProgress: number;
  /** Time until it would have been sent. */
  readonly expectedStartMs: number;
}

/** A request's place in a queue. */
export interface AdmissionTicket {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
  state: "waiting" | "started" | "refused" | "ended";
  startedAtMs?: number;
  /** Whether it could only be late when it was sent. */
  isLate?: boolean;
  refusal?: AdmissionRefusal;
}

/** Free slots at a model's heads, as far as is known. */
export type HeadOccupancy =
  | "no-heads"
  /** At least one head has none. */
  | "some-full"
  | "all-free";

/** What a queue asks of its process. */
export interface AdmissionQueueOptions {
  /** Requests of organisations over all processes; undefined if not known. */
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
  readonly headOccupancy: (nowMs: number) => HeadOccupancy;
}

/** How a request ended. */
export interface AdmissionEnd {
  /** Whether an instance answered it. */
  readonly isServed: boolean;
  readonly firstByteAtMs?: number;
}

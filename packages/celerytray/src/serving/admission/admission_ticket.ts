import type { OrderedRequest } from "./waiting_order.ts";

/** A model request to be admitted. */
export interface AdmissionRequest extends OrderedRequest {
  readonly requestId: string;
}

/** Why a request is refused, and the state that the decision is based on. */
export interface AdmissionRefusal {
  readonly reason: "no-time" | "time-over";
  readonly retryAfterMs: number;
  readonly limit: number;
  readonly waiting: number;
  readonly inProgress: number;
  /** Estimated time until it would have been sent. */
  readonly expectedStartMs: number;
}

/** State of a request in a queue. */
export interface AdmissionTicket {
  readonly request: AdmissionRequest;
  readonly offeredAtMs: number;
  state: "waiting" | "started" | "refused" | "ended";
  startedAtMs?: number;
  /** Whether it could no longer be on time when it was sent. */
  isLate?: boolean;
  refusal?: AdmissionRefusal;
}

/** Known occupancy of the slots at a model's heads. */
export type HeadOccupancy =
  | "no-heads"
  /** At least one head has no free slot. */
  | "some-full"
  | "all-free";

/** State of the process that a queue reads. */
export interface AdmissionQueueOptions {
  /** Requests over all processes, by organisation; undefined if not known. */
  readonly tenantTotals: () => Readonly<Record<string, number>> | undefined;
  readonly headOccupancy: (nowMs: number) => HeadOccupancy;
}

/** How a request ended. */
export interface AdmissionEnd {
  /** Whether an instance answered it. */
  readonly isServed: boolean;
  readonly firstByteAtMs?: number;
}

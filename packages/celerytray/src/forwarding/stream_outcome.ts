/** Outcome of one attempt on one replica. */
export type AttemptOutcome =
  | { readonly kind: "finished" }
  /** The replica reported that nothing ran, or no connection was made. */
  | { readonly kind: "not-run"; readonly message: string }
  /** The replica rejected the request as invalid. */
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly message: string;
  }
  /** The response is incomplete. */
  | { readonly kind: "cut"; readonly message: string }
  /** The response can't be forwarded, whichever replica sends it. */
  | { readonly kind: "undeliverable"; readonly message: string };

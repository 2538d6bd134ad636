/** A process through which another one can serve requests. */
export interface Gateway {
  readonly nodeId: string;
  /** IP:PORT at which other processes reach it. */
  readonly peerAddress: string;
  readonly zone: string;
  /** Services whose instances it doesn't reach. */
  readonly lostServices: readonly string[];
}

/** What a relayed request tells the gateway that serves it. */
export interface RelayedCall {
  /** Attempts at instances that it may make. */
  readonly attemptsLeft: number;
}

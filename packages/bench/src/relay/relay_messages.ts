/** Role of a process in the relay benchmark. */
export type RelayRole = "source" | "pipe" | "entry" | "client";

/** Start options of a process, passed as JSON in its first argument. */
export interface RelayStart {
  readonly role: RelayRole;
  /** Addresses of the sources, for a pipe or an entry instance. */
  readonly sources?: readonly string[];
}

/** Load that a client sends to an address. */
export interface RelayLoad {
  readonly address: string;
  readonly concurrency: number;
  readonly requestCount: number;
  readonly tokenCount: number;
}

/** Result of a client's load. */
export interface RelayReport {
  /** Number of streams that ended with the end marker. */
  readonly completeCount: number;
  readonly durationMs: number;
  /** Time from each request to the first byte of its response, in microseconds. */
  readonly firstByteUs: readonly number[];
}

/** API key that clients send. */
export const RELAY_API_KEY = "relay-key";

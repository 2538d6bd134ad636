/** What a process of the measurement does. */
export type RelayRole = "source" | "pipe" | "entry" | "client";

/** What a process is started with, as JSON in its first argument. */
export interface RelayStart {
  readonly role: RelayRole;
  /** Addresses of the sources, for a pipe or an entry instance. */
  readonly sources?: readonly string[];
}

/** A load that a client puts on an address. */
export interface RelayLoad {
  readonly address: string;
  readonly concurrency: number;
  readonly requestCount: number;
  readonly tokenCount: number;
}

/** What a client found. */
export interface RelayReport {
  readonly wholeCount: number;
  readonly durationMs: number;
  /** Time of each request until its first byte, in microseconds. */
  readonly firstByteUs: readonly number[];
}

/** Key that clients send. */
export const RELAY_KEY = "relay-key";

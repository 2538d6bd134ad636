import type { Member } from "./member_table.ts";
import { sample } from "./sample.ts";

/** Options of the isolation monitor. */
export interface IsolationMonitorOptions {
  /** Time without readTime that counts as isolation; 0 disables the check. */
  readonly timeoutMs: number;
  /** Time between two calls of `selectPeersToPing`. */
  readonly intervalMs: number;
  readonly startedAtMs: number;
}

/** Time of an evaluation, and of the last answer from the log service. */
export interface LogReadTime {
  readonly nowMs: number;
  /** When the log service last answered; undefined if it never did. */
  readonly logReadAtMs: number | undefined;
}

/** Time without an answer from the log after which peers are pinged. */
const LOG_OUTAGE_MS = 1_500;
/** Number of peers in the sample. */
const SAMPLE_PEERS = 8;
/** Number of intervals in which each peer of the sample is pinged once. */
const ROTATION_INTERVALS = 4;
/** Number of intervals with pings before the result is used. */
const MIN_PING_INTERVALS = 5;

interface PeerSample {
  readonly sinceMs: number;
  readonly peers: readonly Member[];
  turn: number;
}

/**
 * Distinguishes an outage of the log from isolation of this instance. While the
 * log does not answer, a fixed sample of peers is pinged. The sample is taken
 * when the outage begins, so that peers which are declared gone later still
 * count.
 */
export class IsolationMonitor {
  readonly #options: IsolationMonitorOptions;
  readonly #lastContactAtMs = new Map<string, number>();
  #peerSample: PeerSample | undefined;

  constructor(options: IsolationMonitorOptions) {
    this.#options = options;
  }

  /** Records readTime with a peer, in either direction. */
  recordContact(instanceId: string, nowMs: number): void {
    this.#lastContactAtMs.set(instanceId, nowMs);
  }

  /** Removes a peer that left deliberately from the sample. */
  recordDeparture(instanceId: string): void {
    this.#lastContactAtMs.delete(instanceId);
    if (this.#peerSample === undefined) return;
    const peers = this.#peerSample.peers.filter((peer) =>
      peer.instanceId !== instanceId
    );
    this.#peerSample = { ...this.#peerSample, peers };
  }

  /** Selects the peers to ping in this interval; none while the log answers. */
  selectPeersToPing(
    readTime: LogReadTime,
    options: {
      readonly present: readonly Member[];
      readonly random: () => number;
    },
  ): readonly Member[] {
    if (this.#findLogAge(readTime) <= LOG_OUTAGE_MS) {
      this.#peerSample = undefined;
      return [];
    }
    const { present, random } = options;
    this.#peerSample ??= {
      sinceMs: readTime.nowMs,
      peers: sample(present, { count: SAMPLE_PEERS, random }),
      turn: 0,
    };
    const turn = this.#peerSample.turn++;
    return this.#peerSample.peers.filter((_, index) =>
      index % ROTATION_INTERVALS === turn % ROTATION_INTERVALS
    );
  }

  /** Why this instance must refuse requests; undefined if it need not. */
  findIsolationReason(readTime: LogReadTime): string | undefined {
    const { timeoutMs, intervalMs } = this.#options;
    const peerSample = this.#peerSample;
    if (timeoutMs === 0 || peerSample === undefined) return undefined;
    if (this.#findLogAge(readTime) <= timeoutMs) return undefined;
    const { nowMs } = readTime;
    if (nowMs - peerSample.sinceMs < MIN_PING_INTERVALS * intervalMs) {
      return undefined;
    }
    const windowMs = Math.max(timeoutMs, MIN_PING_INTERVALS * intervalMs);
    const lostCount =
      peerSample.peers.filter(({ instanceId }) =>
        nowMs - (this.#lastContactAtMs.get(instanceId) ?? -Infinity) > windowMs
      ).length;
    const count = peerSample.peers.length;
    if (count === 0 || 2 * lostCount < count) return undefined;
    return `it is cut off from the log and from ${lostCount} of ${count} other entry instances tried`;
  }

  #findLogAge({ nowMs, logReadAtMs }: LogReadTime): number {
    return nowMs - (logReadAtMs ?? this.#options.startedAtMs);
  }
}

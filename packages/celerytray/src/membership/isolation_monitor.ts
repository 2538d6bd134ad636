import type { Member } from "./member_table.ts";
import { sample } from "./sample.ts";

/** Limits of isolation. */
export interface IsolationMonitorOptions {
  /** Time without contact that counts; 0 switches the check off. */
  readonly timeoutMs: number;
  /** Time between two calls of `selectSounded`. */
  readonly intervalMs: number;
  readonly startedAtMs: number;
}

/** What is known at a time. */
export interface LogContact {
  readonly nowMs: number;
  /** When the log service last answered; undefined if it never did. */
  readonly logReadAtMs: number | undefined;
}

/** Silence of the log after which peers are sounded. */
const LOG_SILENCE_MS = 1_500;
/** Peers that stand for all. */
const SOUNDED_PEERS = 8;
/** Intervals in which each of them is sounded once. */
const TURN_INTERVALS = 4;
/** Intervals of sounding before the outcome counts. */
const SETTLE_INTERVALS = 5;

interface Sounding {
  readonly sinceMs: number;
  readonly peers: readonly Member[];
  turn: number;
}

/**
 * Tells a log outage that all see from isolation. While the log is silent it
 * has a fixed sample of peers sounded, those there when the silence began, so
 * that a peer given up since still counts.
 */
export class IsolationMonitor {
  readonly #options: IsolationMonitorOptions;
  readonly #heardAtMs = new Map<string, number>();
  #sounding: Sounding | undefined;

  constructor(options: IsolationMonitorOptions) {
    this.#options = options;
  }

  /** Takes note of a contact with a peer, in either direction. */
  noteHeard(instanceId: string, nowMs: number): void {
    this.#heardAtMs.set(instanceId, nowMs);
  }

  /** A peer that left on purpose no longer counts. */
  noteLeft(instanceId: string): void {
    this.#heardAtMs.delete(instanceId);
    if (this.#sounding === undefined) return;
    const peers = this.#sounding.peers.filter((peer) =>
      peer.instanceId !== instanceId
    );
    this.#sounding = { ...this.#sounding, peers };
  }

  /** Peers to contact in this interval; none while the log answers. */
  selectSounded(
    contact: LogContact,
    options: {
      readonly present: readonly Member[];
      readonly random: () => number;
    },
  ): readonly Member[] {
    if (this.#findLogAge(contact) <= LOG_SILENCE_MS) {
      this.#sounding = undefined;
      return [];
    }
    const { present, random } = options;
    this.#sounding ??= {
      sinceMs: contact.nowMs,
      peers: sample(present, { count: SOUNDED_PEERS, random }),
      turn: 0,
    };
    const turn = this.#sounding.turn++;
    return this.#sounding.peers.filter((_, index) =>
      index % TURN_INTERVALS === turn % TURN_INTERVALS
    );
  }

  /** Why this instance must refuse requests; undefined if it need not. */
  findReason(contact: LogContact): string | undefined {
    const { timeoutMs, intervalMs } = this.#options;
    const sounding = this.#sounding;
    if (timeoutMs === 0 || sounding === undefined) return undefined;
    if (this.#findLogAge(contact) <= timeoutMs) return undefined;
    const { nowMs } = contact;
    if (nowMs - sounding.sinceMs < SETTLE_INTERVALS * intervalMs) {
      return undefined;
    }
    const windowMs = Math.max(timeoutMs, SETTLE_INTERVALS * intervalMs);
    const lostCount =
      sounding.peers.filter(({ instanceId }) =>
        nowMs - (this.#heardAtMs.get(instanceId) ?? -Infinity) > windowMs
      ).length;
    const count = sounding.peers.length;
    if (count === 0 || 2 * lostCount < count) return undefined;
    return `it is cut off from the log and from ${lostCount} of ${count} other entry instances tried`;
  }

  #findLogAge({ nowMs, logReadAtMs }: LogContact): number {
    return nowMs - (logReadAtMs ?? this.#options.startedAtMs);
  }
}

import type { AttemptOutcome } from "../exchange/index.ts";
import {
  createIncarnationKey,
  type IncarnatedTarget,
} from "../incarnation_key.ts";
import type { CallCauses } from "./crash_causes.ts";
import type { WatchedAttempt } from "./own_evidence.ts";
import type { CrashQuarantine } from "./crash_quarantine.ts";
import type { SuspectLoad } from "./suspect_load.ts";

/** Options of the watch on one attempt. */
export interface AttemptWatchOptions {
  readonly quarantine: CrashQuarantine;
  readonly suspectLoad: SuspectLoad;
  readonly causes: CallCauses;
  /** Whether it has written for a while at another attempt. */
  readonly isHarmless?: boolean;
  readonly isStream: boolean;
  readonly target: IncarnatedTarget;
  readonly startedAtMs: number;
}

/** Time after its first event for which a stream may still crash its instance. */
const CONFIRM_MS = 100;
/**
 * Shortest time in which an instance begins to write a stream, or to run another
 * request. A request that is lost sooner has not crashed its instance: a kept
 * connection had been closed while it was idle, a new one found no room.
 */
const MIN_STREAM_BEGIN_MS = 50;
const MIN_RUN_MS = 10;

/**
 * Watches whether an attempt begins to write without harm, or whether its
 * instance is lost before.
 */
export class AttemptWatch {
  readonly #options: AttemptWatchOptions;
  readonly #attempt: Omit<WatchedAttempt, "causes">;
  #isSuspect: boolean;
  #sentAtMs: number;
  #hasHeaders = false;
  #firstEventAtMs: number | undefined;
  #isSafe = false;

  constructor(options: AttemptWatchOptions) {
    const { quarantine, suspectLoad, causes, target, startedAtMs } = options;
    const { instanceId } = target;
    this.#options = options;
    this.#sentAtMs = startedAtMs;
    this.#attempt = {
      isStream: options.isStream,
      instanceId,
      incarnation: createIncarnationKey(target),
    };
    this.#isSuspect = options.isHarmless !== true && quarantine.assess(
          causes.listWatched(quarantine),
          startedAtMs,
        ).kind !== "clear";
    if (this.#isSuspect) suspectLoad.note(instanceId, 1);
  }

  /** Whether its stream had written for a while, or its answer was whole. */
  get isSafe(): boolean {
    return this.#isSafe;
  }

  /** Notes that sending the request has begun. */
  noteSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
  }

  noteHeaders(nowMs: number): void {
    this.#hasHeaders = true;
    this.#options.quarantine.noteAlive(this.#attempt, nowMs);
  }

  noteEvent(nowMs: number): void {
    if (this.#isSafe) return;
    this.#options.quarantine.noteAlive(this.#attempt, nowMs);
    this.#firstEventAtMs ??= nowMs;
    if (nowMs - this.#firstEventAtMs >= CONFIRM_MS) this.#noteSafe(nowMs);
  }

  /** Whether an outcome may come from a crash of the instance. */
  mayBeCrash(outcome: AttemptOutcome): boolean {
    return outcome.kind === "lost" && !this.#isSafe &&
      this.#options.isHarmless !== true && outcome.abandonReason === undefined;
  }

  /**
   * Notes an outcome, and whether its instance was found alive right after. A
   * request that is lost at one that lives was ended by order, or by the
   * connection.
   */
  noteOutcome(
    outcome: AttemptOutcome,
    { nowMs, isAlive }: { readonly nowMs: number; readonly isAlive: boolean },
  ): void {
    if (this.#hasWritten(outcome)) this.#noteSafe(nowMs);
    const { quarantine, causes, isStream, startedAtMs } = this.#options;
    if (outcome.kind !== "lost" || !this.mayBeCrash(outcome)) return;
    const minRunMs = isStream ? MIN_STREAM_BEGIN_MS : MIN_RUN_MS;
    const isTooSoon = !this.#hasHeaders && nowMs - this.#sentAtMs < minRunMs;
    const attempt: WatchedAttempt = {
      ...this.#attempt,
      causes: causes.all,
      startedAtMs,
      isKeptConnection: outcome.isStaleConnection,
    };
    if (isTooSoon || isAlive) quarantine.noteDisregarded(attempt, nowMs);
    else quarantine.noteLost(attempt, nowMs);
  }

  /** Ends the watch, also of an attempt that was interrupted. */
  end(): void {
    if (!this.#isSuspect) return;
    this.#isSuspect = false;
    this.#options.suspectLoad.note(this.#attempt.instanceId, -1);
  }

  /** An error, or a stream without an event, shows nothing of the prompt. */
  #hasWritten(outcome: AttemptOutcome): boolean {
    if (outcome.kind === "streamed") return this.#firstEventAtMs !== undefined;
    return outcome.kind === "answered" && outcome.headers.status >= 200 &&
      outcome.headers.status < 300;
  }

  #noteSafe(nowMs: number): void {
    if (this.#isSafe) return;
    this.#isSafe = true;
    const { quarantine, causes } = this.#options;
    quarantine.noteSafe(
      { causes: causes.listWatched(quarantine) },
      this.#firstEventAtMs ?? nowMs,
    );
    this.end();
  }
}

import type { ColdStart } from "./serving_config.ts";

/** Why an instance counts as cold. */
export type ColdReason = "listed" | "reported" | "started";

/** Options of the tracker of cold instances. */
export interface ColdTrackerOptions {
  /** Cold start of a service; undefined if its instances are never cold. */
  readonly findColdStart: (service: string) => ColdStart | undefined;
  /** Called when an instance turns cold. */
  readonly onCold: (cold: ColdTransition) => void;
  /** Called with a cold time that is out of range. */
  readonly onMalformed: (instanceId: string, message: string) => void;
}

/** An instance that turned cold. */
export interface ColdTransition {
  readonly instanceId: string;
  readonly reason: ColdReason;
  readonly coldMs: number;
}

/** An instance's entry in the instance list. */
export interface ListedInstance {
  readonly id: string;
  readonly service: string;
  /** Log offset of the entry. */
  readonly offset: number;
  /** Unix time at which the incarnation started. */
  readonly bornAtMs?: number;
  /** Time for which it stays cold, as listed; NaN if unreadable. */
  readonly coldRemainingMs?: number;
}

/** The time and circumstances of reading an entry. */
export interface ListReadContext {
  readonly nowMs: number;
  /** Unix time. */
  readonly wallMs: number;
  readonly hasTraffic: boolean;
  /** Whether the list had not been read before. */
  readonly isFirst: boolean;
}

/** A period in which an instance is cold. */
export interface ColdPeriod {
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Longest plausible cold time; instances need a few seconds. */
const MAX_COLD_MS = 60_000;
/** Cold time after a start if the service's configuration is unknown. */
const DEFAULT_COLD_START_MS = 3_000;
/** Limit on the entries kept, those of absent instances included. */
const MAX_INCARNATIONS = 20_000;

/** Tracks which instances are cold and until when; the latest report wins. */
export class ColdTracker {
  readonly #options: ColdTrackerOptions;
  readonly #coldPeriods = new Map<string, ColdPeriod>();
  readonly #lastEntries = new Map<string, Pick<ListedInstance, KnownField>>();

  constructor(options: ColdTrackerOptions) {
    this.#options = options;
  }

  /** Records an entry of the instance list; old and repeated ones are ignored. */
  noteListed(listed: ListedInstance, reading: ListReadContext): void {
    const { id, offset, bornAtMs, coldRemainingMs } = listed;
    const known = this.#lastEntries.get(id);
    if (known !== undefined && known.offset >= offset) return;
    this.#storeEntry(listed, known?.bornAtMs);
    const { nowMs } = reading;
    if (coldRemainingMs !== undefined) {
      this.#noteColdTime(
        listed,
        { coldMs: coldRemainingMs, reason: "listed" },
        nowMs,
      );
      return;
    }
    const isNew = known === undefined ||
      (known.bornAtMs !== undefined && bornAtMs !== undefined &&
        bornAtMs !== known.bornAtMs);
    if (!isNew) return;
    const coldMs = this.#findStartMs(listed.service) -
      findAgeMs(bornAtMs, reading);
    if (coldMs > 0) this.#start(id, { coldMs, reason: "started" }, nowMs);
  }

  /** Records a cold time that an instance reported in a response. */
  noteReported(
    instance: Pick<ListedInstance, "id" | "service">,
    coldMs: number,
    nowMs: number,
  ): void {
    this.#noteColdTime(instance, { coldMs, reason: "reported" }, nowMs);
  }

  /** Records that an instance gets requests again after an evacuation. */
  noteRestored(
    { id, service }: Pick<ListedInstance, "id" | "service">,
    nowMs: number,
  ): void {
    this.#setPeriod(id, this.#findStartMs(service), nowMs);
  }

  /** Returns the current cold period of an instance; undefined if it isn't cold. */
  findColdPeriod(instanceId: string, nowMs: number): ColdPeriod | undefined {
    const period = this.#coldPeriods.get(instanceId);
    if (period === undefined || period.untilMs > nowMs) return period;
    this.#coldPeriods.delete(instanceId);
    return undefined;
  }

  countCold(nowMs: number): number {
    return [...this.#coldPeriods.keys()]
      .filter((id) => this.findColdPeriod(id, nowMs) !== undefined).length;
  }

  #noteColdTime(
    { id, service }: Pick<ListedInstance, "id" | "service">,
    { coldMs, reason }: Omit<ColdTransition, "instanceId">,
    nowMs: number,
  ): void {
    if (coldMs >= 0 && coldMs <= MAX_COLD_MS) {
      this.#start(id, { coldMs, reason }, nowMs);
      return;
    }
    const startMs = this.#findStartMs(service);
    this.#options.onMalformed(
      id,
      `The cold time of ${coldMs} ms is out of range; ${startMs} ms is used`,
    );
    this.#start(id, { coldMs: startMs, reason }, nowMs);
  }

  #start(
    instanceId: string,
    { coldMs, reason }: Omit<ColdTransition, "instanceId">,
    nowMs: number,
  ): void {
    const wasCold = this.findColdPeriod(instanceId, nowMs) !== undefined;
    this.#setPeriod(instanceId, coldMs, nowMs);
    if (!wasCold && coldMs > 0) {
      this.#options.onCold({ instanceId, reason, coldMs });
    }
  }

  #setPeriod(instanceId: string, coldMs: number, nowMs: number): void {
    const sinceMs = this.findColdPeriod(instanceId, nowMs)?.sinceMs ?? nowMs;
    const untilMs = nowMs + coldMs;
    if (coldMs === 0) this.#coldPeriods.delete(instanceId);
    else this.#coldPeriods.set(instanceId, { sinceMs, untilMs });
  }

  #findStartMs(service: string): number {
    return this.#options.findColdStart(service)?.startMs ??
      DEFAULT_COLD_START_MS;
  }

  #storeEntry(
    { id, offset, bornAtMs }: ListedInstance,
    knownBornAtMs: number | undefined,
  ): void {
    const latest = bornAtMs ?? knownBornAtMs;
    this.#lastEntries.delete(id);
    this.#lastEntries.set(id, {
      offset,
      ...(latest === undefined ? {} : { bornAtMs: latest }),
    });
    if (this.#lastEntries.size <= MAX_INCARNATIONS) return;
    const [oldest] = this.#lastEntries.keys();
    this.#lastEntries.delete(oldest!);
  }
}

type KnownField = "offset" | "bornAtMs";

/**
 * Returns the time for which an incarnation has been running. Instances that
 * start before there is traffic don't turn cold. Those in a process's first
 * reading may have started during the traffic of other processes, so their own
 * start time counts.
 */
function findAgeMs(
  bornAtMs: number | undefined,
  { wallMs, hasTraffic, isFirst }: ListReadContext,
): number {
  if (!isFirst) return hasTraffic ? 0 : Number.POSITIVE_INFINITY;
  return bornAtMs === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(0, wallMs - bornAtMs);
}

import type { ColdStart } from "./serving_config.ts";

/** Why an instance counts as cold. */
export type ColdReason = "listed" | "reported" | "started";

/** Options of the tracker of cold instances. */
export interface ColdTrackerOptions {
  /** Bounds of a service; undefined where its instances are never cold. */
  readonly findColdStart: (service: string) => ColdStart | undefined;
  /** Told of an instance that turned cold. */
  readonly onCold: (cold: NotedCold) => void;
  /** Told of a cold time that can't be meant. */
  readonly onMalformed: (instanceId: string, message: string) => void;
}

/** An instance that turned cold. */
export interface NotedCold {
  readonly instanceId: string;
  readonly reason: ColdReason;
  readonly coldMs: number;
}

/** An instance as its entry in the list has it. */
export interface ListedInstance {
  readonly id: string;
  readonly service: string;
  /** Offset of the entry. */
  readonly offset: number;
  /** Start of the incarnation, as Unix time. */
  readonly bornAtMs?: number;
  /** Time for which it stays cold, as it says; not a number if unreadable. */
  readonly coldRemainingMs?: number;
}

/** When an entry was read, and what was known then. */
export interface ListReading {
  readonly nowMs: number;
  /** Unix time. */
  readonly wallMs: number;
  readonly hasTraffic: boolean;
  /** Whether the list had not been read before. */
  readonly isFirst: boolean;
}

/** A time in which an instance is cold. */
export interface ColdSpell {
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Longest cold time that is believed; instances need some seconds. */
const MAX_COLD_MS = 60_000;
/** Cold time of a start before the configuration is known. */
const DEFAULT_START_MS = 3_000;
/** Incarnations that are remembered, those of absent instances included. */
const MAX_INCARNATIONS = 20_000;

/** Which instances are cold and until when; the latest information wins. */
export class ColdTracker {
  readonly #options: ColdTrackerOptions;
  readonly #spells = new Map<string, ColdSpell>();
  readonly #known = new Map<string, Pick<ListedInstance, KnownField>>();

  constructor(options: ColdTrackerOptions) {
    this.#options = options;
  }

  /** Takes note of an entry of the list; older and repeated ones are passed over. */
  noteListed(listed: ListedInstance, reading: ListReading): void {
    const { id, offset, bornAtMs, coldRemainingMs } = listed;
    const known = this.#known.get(id);
    if (known !== undefined && known.offset >= offset) return;
    this.#remember(listed, known?.bornAtMs);
    const { nowMs } = reading;
    if (coldRemainingMs !== undefined) {
      this.#noteTold(
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
    const coldMs = this.#startMsOf(listed.service) - ageMs(bornAtMs, reading);
    if (coldMs > 0) this.#begin(id, { coldMs, reason: "started" }, nowMs);
  }

  /** Takes note of a cold time that an instance answered. */
  noteReported(
    instance: Pick<ListedInstance, "id" | "service">,
    coldMs: number,
    nowMs: number,
  ): void {
    this.#noteTold(instance, { coldMs, reason: "reported" }, nowMs);
  }

  /** Takes note that an instance gets requests again after an evacuation. */
  noteRestored(
    { id, service }: Pick<ListedInstance, "id" | "service">,
    nowMs: number,
  ): void {
    this.#put(id, this.#startMsOf(service), nowMs);
  }

  /** The time in which an instance is cold; undefined if it isn't now. */
  findSpell(instanceId: string, nowMs: number): ColdSpell | undefined {
    const spell = this.#spells.get(instanceId);
    if (spell === undefined || spell.untilMs > nowMs) return spell;
    this.#spells.delete(instanceId);
    return undefined;
  }

  countCold(nowMs: number): number {
    return [...this.#spells.keys()]
      .filter((id) => this.findSpell(id, nowMs) !== undefined).length;
  }

  #noteTold(
    { id, service }: Pick<ListedInstance, "id" | "service">,
    { coldMs, reason }: Omit<NotedCold, "instanceId">,
    nowMs: number,
  ): void {
    if (coldMs >= 0 && coldMs <= MAX_COLD_MS) {
      this.#begin(id, { coldMs, reason }, nowMs);
      return;
    }
    const startMs = this.#startMsOf(service);
    this.#options.onMalformed(
      id,
      `A cold time of ${coldMs} ms can't be meant; ${startMs} ms are taken`,
    );
    this.#begin(id, { coldMs: startMs, reason }, nowMs);
  }

  #begin(
    instanceId: string,
    { coldMs, reason }: Omit<NotedCold, "instanceId">,
    nowMs: number,
  ): void {
    const wasCold = this.findSpell(instanceId, nowMs) !== undefined;
    this.#put(instanceId, coldMs, nowMs);
    if (!wasCold && coldMs > 0) {
      this.#options.onCold({ instanceId, reason, coldMs });
    }
  }

  #put(instanceId: string, coldMs: number, nowMs: number): void {
    const sinceMs = this.findSpell(instanceId, nowMs)?.sinceMs ?? nowMs;
    const untilMs = nowMs + coldMs;
    if (coldMs === 0) this.#spells.delete(instanceId);
    else this.#spells.set(instanceId, { sinceMs, untilMs });
  }

  #startMsOf(service: string): number {
    return this.#options.findColdStart(service)?.startMs ?? DEFAULT_START_MS;
  }

  #remember(
    { id, offset, bornAtMs }: ListedInstance,
    knownBornAtMs: number | undefined,
  ): void {
    const latest = bornAtMs ?? knownBornAtMs;
    this.#known.delete(id);
    this.#known.set(id, {
      offset,
      ...(latest === undefined ? {} : { bornAtMs: latest }),
    });
    if (this.#known.size <= MAX_INCARNATIONS) return;
    const [oldest] = this.#known.keys();
    this.#known.delete(oldest!);
  }
}

type KnownField = "offset" | "bornAtMs";

/**
 * Time for which an incarnation has run already. Before traffic instances don't
 * turn cold; what a process reads at its start may have begun in the traffic of
 * others, and counts by its own time of birth.
 */
function ageMs(
  bornAtMs: number | undefined,
  { wallMs, hasTraffic, isFirst }: ListReading,
): number {
  if (!isFirst) return hasTraffic ? 0 : Number.POSITIVE_INFINITY;
  return bornAtMs === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(0, wallMs - bornAtMs);
}

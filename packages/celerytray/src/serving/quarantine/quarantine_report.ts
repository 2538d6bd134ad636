import type { CrashSighting, SafeSighting } from "./crash_evidence.ts";
import { MAX_CAUSE_ID_CHARACTERS } from "./crash_causes.ts";

/**
 * What one or more processes report of what crashes instances. A part is a part of
 * prompts or, by the beginning of its id, a whole request.
 */
export interface QuarantineReport {
  readonly crashes: readonly CrashSighting[];
  /** Harmless requests with parts that the leader suspects. */
  readonly safe: readonly SafeSighting[];
  /** Held parts for which a process has had a request lately. */
  readonly wanted: readonly WantedTrial[];
  /** Parts in quarantine that the leader's status does not name. */
  readonly quarantined: readonly QuarantinedPart[];
}

/** A process that could try a request with a held part. */
export interface WantedTrial {
  readonly part: string;
  readonly nodeId: string;
}

/** A part of which requests are refused until the operator releases it. */
export interface QuarantinedPart {
  readonly part: string;
  readonly crashes: number;
  /**
   * Offset of the operator's newest release of the part when it was
   * quarantined, -1 without one. A later release ends the quarantine.
   */
  readonly releaseOffset: number;
}

/** A part of a prompt that is believed to crash instances, as the leader says. */
export interface SuspectPart extends QuarantinedPart {
  /** A held part gets no requests but single trials. */
  readonly state: "suspected" | "held" | "quarantined";
  /** Permission for one process to try one request with a held part. */
  readonly trial?: TrialGrant;
}

/** Permission for one request with a held part. */
export interface TrialGrant {
  readonly nodeId: string;
  /** Distinguishes the permissions of one part. */
  readonly id: string;
}

/** Bounds the size of a merged report. */
const MAX_SIGHTINGS = 128;
const MAX_WANTED = 32;
/** Parts in quarantine, of all processes; the oldest are dropped first. */
export const MAX_QUARANTINED_PARTS = 256;

export const EMPTY_REPORT: QuarantineReport = {
  crashes: [],
  safe: [],
  wanted: [],
  quarantined: [],
};

/** Merges the reports of several processes. */
export function mergeReports(
  reports: readonly (QuarantineReport | undefined)[],
): QuarantineReport {
  const present = reports.filter((report) => report !== undefined);
  const crashes = new Map<string, CrashSighting>();
  const safe = new Map<string, SafeSighting>();
  const wanted = new Map<string, WantedTrial>();
  for (const report of present) {
    for (const sighting of report.crashes) {
      const key = `${sighting.part} ${sighting.incarnation}`;
      const known = crashes.get(key);
      // The first process that saw a loss is closest to its time.
      if (known === undefined || known.ageMs < sighting.ageMs) {
        crashes.set(key, sighting);
      }
    }
    for (const sighting of report.safe) {
      const known = safe.get(sighting.part);
      if (known === undefined || known.ageMs > sighting.ageMs) {
        safe.set(sighting.part, sighting);
      }
    }
    for (const request of report.wanted) {
      if (!wanted.has(request.part)) wanted.set(request.part, request);
    }
  }
  const quarantined = new Map(
    present.flatMap((report) => report.quarantined)
      .map((entry) => [entry.part, entry]),
  );
  return {
    crashes: [...crashes.values()]
      .sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_SIGHTINGS),
    safe: [...safe.values()].slice(0, MAX_SIGHTINGS),
    wanted: [...wanted.values()].slice(0, MAX_WANTED),
    quarantined: [...quarantined.values()].slice(0, MAX_QUARANTINED_PARTS),
  };
}

/** Returns a report as it reads some time after it was made. */
export function ageReport(
  report: QuarantineReport,
  elapsedMs: number,
): QuarantineReport {
  const age = <Sighting extends SafeSighting>(sighting: Sighting) => ({
    ...sighting,
    ageMs: sighting.ageMs + elapsedMs,
  });
  return {
    ...report,
    crashes: report.crashes.map(age),
    safe: report.safe.map(age),
  };
}

/** Decodes the report of another process; undefined if there is none to use. */
export function parseQuarantineReport(
  input: unknown,
): QuarantineReport | undefined {
  const report = input as Partial<QuarantineReport> | null | undefined;
  if (typeof report !== "object" || report === null) return undefined;
  const { crashes, safe, wanted, quarantined } = report;
  const isValid = isListOf(
    crashes,
    ({ part, incarnation, ageMs }) =>
      isPartId(part) && typeof incarnation === "string" && isAge(ageMs),
  ) &&
    isListOf(safe, ({ part, ageMs }) => isPartId(part) && isAge(ageMs)) &&
    isListOf(
      wanted,
      ({ part, nodeId }) => isPartId(part) && typeof nodeId === "string",
    ) &&
    isListOf(quarantined, isQuarantinedPart);
  return isValid ? report as QuarantineReport : undefined;
}

/** Whether an input describes a part in quarantine. */
export function isQuarantinedPart(
  { part, crashes, releaseOffset }: Partial<QuarantinedPart>,
): boolean {
  return isPartId(part) && Number.isSafeInteger(crashes) &&
    Number.isSafeInteger(releaseOffset);
}

function isListOf<Item>(
  list: readonly Item[] | undefined,
  isValid: (item: Item) => boolean,
): boolean {
  return Array.isArray(list) &&
    list.every((item: Item | null) =>
      typeof item === "object" && item !== null && isValid(item)
    );
}

function isPartId(part: unknown): boolean {
  return typeof part === "string" && part.length <= MAX_CAUSE_ID_CHARACTERS;
}

function isAge(ageMs: unknown): boolean {
  return Number.isFinite(ageMs) && (ageMs as number) >= 0;
}

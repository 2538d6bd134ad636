/** What one or more processes report of the request rates that instances allow. */
export interface LimitReport {
  readonly sightings: readonly LimitSighting[];
  /** Processes that have requests for a model with limited instances. */
  readonly seekers: readonly LimitSeeker[];
}

/** What the answers of an instance last said about its rate. */
export interface LimitSighting {
  /** The instance in its present life. */
  readonly incarnation: string;
  /** Service and model of its requests. */
  readonly pool: string;
  /** Requests a second from all processes together; null if it no longer has a limit. */
  readonly perSecond: number | null;
  readonly ageMs: number;
}

/** A process that has requests for the instances of a pool. */
export interface LimitSeeker {
  readonly nodeId: string;
  readonly pool: string;
  readonly requestsPerSecond: number;
}

/** An instance with a limit, and the processes that may send to it. */
export interface SharedLimit {
  readonly incarnation: string;
  readonly pool: string;
  readonly perSecond: number;
  /** Ids of the processes that share the rate evenly; no other sends requests. */
  readonly owners: readonly string[];
}

export const EMPTY_LIMIT_REPORT: LimitReport = { sightings: [], seekers: [] };

/**
 * Processes that may share a limit. In 4 s the users allow half of the limit
 * above it, and 5 requests; a process may send two of these at once.
 */
export function maxOwners(perSecond: number): number {
  return Math.max(1, Math.min(MAX_OWNERS, Math.floor(perSecond + 2)));
}

const MAX_OWNERS = 16;

/** Bounds the size of a merged report. */
const MAX_SIGHTINGS = 128;
const MAX_SEEKERS = 64;

/** Merges the reports of several processes. */
export function mergeLimitReports(
  reports: readonly (LimitReport | undefined)[],
): LimitReport {
  const sightings = new Map<string, LimitSighting>();
  const seekers = new Map<string, LimitSeeker>();
  for (const report of reports) {
    for (const sighting of report?.sightings ?? []) {
      const known = sightings.get(sighting.incarnation);
      if (known === undefined || sighting.ageMs < known.ageMs) {
        sightings.set(sighting.incarnation, sighting);
      }
    }
    for (const seeker of report?.seekers ?? []) {
      seekers.set(JSON.stringify([seeker.nodeId, seeker.pool]), seeker);
    }
  }
  return {
    sightings: [...sightings.values()]
      .sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_SIGHTINGS),
    // A stable order keeps the same seekers where there are too many.
    seekers: [...seekers.values()]
      .sort((a, b) => a.nodeId < b.nodeId ? -1 : 1).slice(0, MAX_SEEKERS),
  };
}

/** Returns a report as it reads some time after it was made. */
export function ageLimitReport(
  report: LimitReport,
  elapsedMs: number,
): LimitReport {
  return {
    ...report,
    sightings: report.sightings.map((sighting) => ({
      ...sighting,
      ageMs: sighting.ageMs + elapsedMs,
    })),
  };
}

/** Decodes the report of another process; undefined if there is none to use. */
export function parseLimitReport(input: unknown): LimitReport | undefined {
  const report = input as Partial<LimitReport> | null | undefined;
  const isValid = typeof report === "object" && report !== null &&
    Array.isArray(report.sightings) && report.sightings.every(isSighting) &&
    Array.isArray(report.seekers) && report.seekers.every(isSeeker);
  return isValid ? report as LimitReport : undefined;
}

function isSighting(sighting: Partial<LimitSighting> | null): boolean {
  const perSecond = sighting?.perSecond;
  return typeof sighting?.incarnation === "string" &&
    typeof sighting.pool === "string" &&
    (perSecond === null || (Number.isFinite(perSecond) && perSecond! > 0)) &&
    Number.isFinite(sighting.ageMs);
}

function isSeeker(seeker: Partial<LimitSeeker> | null): boolean {
  return typeof seeker?.nodeId === "string" &&
    typeof seeker.pool === "string" &&
    Number.isFinite(seeker.requestsPerSecond);
}

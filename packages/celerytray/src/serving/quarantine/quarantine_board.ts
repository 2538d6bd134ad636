import type { PartAssessment } from "./assess_part.ts";
import { CrashEvidence, HELD_CRASHES } from "./crash_evidence.ts";
import { isRequestCause } from "./crash_causes.ts";
import { believeLosses, type ProveLoss } from "./loss_proof.ts";
import {
  MAX_QUARANTINED_PARTS,
  type QuarantinedPart,
  type QuarantineReport,
  type SuspectPart,
  type TrialGrant,
} from "./quarantine_report.ts";
import { isLaterRelease } from "./release_order.ts";
import { WithdrawnLosses } from "./withdrawn_losses.ts";

/** Options of a quarantine board. */
export interface QuarantineBoardOptions {
  readonly term: number;
  /** Offset of the operator's newest release of a part, -1 without one. */
  readonly releaseOffset: (part: string) => number;
  /** Called with the evidence when a part is quarantined. */
  readonly onQuarantined: (assessment: PartAssessment) => void;
}

/** Time for which a process may use its permission for a trial. */
const TRIAL_MS = 3_000;
/** Parts not in quarantine that the status names. */
const MAX_SUSPECTS = 64;

interface Release {
  readonly offset: number;
  readonly atMs: number;
}

interface Trial {
  readonly grant: TrialGrant;
  readonly atMs: number;
}

/**
 * The leader's conclusions from the reports of all processes: which parts of
 * prompts are suspected, held and quarantined, and who may try a held one.
 */
export class QuarantineBoard {
  readonly #options: QuarantineBoardOptions;
  readonly #evidence = new CrashEvidence();
  readonly #quarantined = new Map<string, QuarantinedPart>();
  readonly #trials = new Map<string, Trial>();
  /** When this leader learnt of the newest release of a part. */
  readonly #releases = new Map<string, Release>();
  #trialCount = 0;

  constructor(options: QuarantineBoardOptions) {
    this.#options = options;
  }

  /** Parts in quarantine. */
  get quarantined(): readonly QuarantinedPart[] {
    return [...this.#quarantined.values()];
  }

  /** Takes a report of all processes into account; returns the parts to name. */
  update(
    report: QuarantineReport,
    { nowMs, settleMs, proveLoss = believeLosses }: {
      readonly nowMs: number;
      /** Time in which harmless requests of all processes are reported. */
      readonly settleMs: number;
      /** Which of the reported losses are proved; by default all. */
      readonly proveLoss?: ProveLoss;
    },
  ): readonly SuspectPart[] {
    this.#dropReleased();
    for (const entry of report.quarantined) this.#add(entry);
    const withdrawn = new WithdrawnLosses();
    for (const { part, incarnation, ageMs } of report.crashes) {
      if (proveLoss(incarnation) === "alive") {
        this.#evidence.withdraw(incarnation);
        withdrawn.note(part);
        continue;
      }
      const atMs = nowMs - ageMs;
      if (atMs <= this.#findReleasedAtMs(part, nowMs)) continue;
      this.#evidence.noteCrash({ part, incarnation }, atMs);
    }
    for (const { part, ageMs } of report.safe) {
      this.#evidence.noteSafe(part, nowMs - ageMs);
    }
    const explaining = new Set(this.#quarantined.keys());
    const assessments = this.#evidence.assess({
      nowMs,
      settleMs,
      explaining,
      proveLoss,
    });
    for (const assessment of assessments) {
      if (assessment.isConclusive) this.#quarantine(assessment);
    }
    const wanted = new Map(
      report.wanted.map(({ part, nodeId }) => [part, nodeId]),
    );
    const doubted = assessments
      .filter((assessment) => this.#isNamed(assessment))
      .map((assessment) => {
        const trial = this.#findTrial(assessment, {
          wantedBy: wanted.get(assessment.part),
          settleMs,
          nowMs,
        });
        return this.#describeSuspect(assessment, trial);
      });
    const suspects = withdrawn.complete(doubted, {
      isOpen: (part) => !this.#quarantined.has(part),
      releaseOffset: this.#options.releaseOffset,
    });
    return [
      ...this.quarantined.map((entry): SuspectPart => ({
        ...entry,
        state: "quarantined",
      })),
      ...suspects.slice(0, MAX_SUSPECTS),
    ];
  }

  /** A request is named once it is held: many are lost with an instance. */
  #isNamed({ part, crashes }: PartAssessment): boolean {
    return !this.#quarantined.has(part) &&
      (!isRequestCause(part) || crashes >= HELD_CRASHES);
  }

  #describeSuspect(
    { part, crashes, isExplained }: PartAssessment,
    trial: TrialGrant | undefined,
  ): SuspectPart {
    return {
      part,
      crashes,
      releaseOffset: this.#options.releaseOffset(part),
      state: crashes >= HELD_CRASHES && !isExplained ? "held" : "suspected",
      ...(trial === undefined ? {} : { trial }),
    };
  }

  #dropReleased(): void {
    for (const [part, { releaseOffset }] of this.#quarantined) {
      const newest = this.#options.releaseOffset(part);
      if (!isLaterRelease(newest, releaseOffset)) continue;
      this.#quarantined.delete(part);
      this.#evidence.forget(part);
    }
  }

  /** Crashes before a release may be reported by processes that don't know it. */
  #findReleasedAtMs(part: string, nowMs: number): number {
    const offset = this.#options.releaseOffset(part);
    if (offset < 0) return Number.NEGATIVE_INFINITY;
    const known = this.#releases.get(part);
    if (known !== undefined && !isLaterRelease(offset, known.offset)) {
      return known.atMs;
    }
    this.#releases.set(part, { offset, atMs: nowMs });
    return nowMs;
  }

  #quarantine(assessment: PartAssessment): void {
    const { part, crashes } = assessment;
    const releaseOffset = this.#options.releaseOffset(part);
    this.#add({ part, crashes, releaseOffset });
    this.#trials.delete(part);
    this.#options.onQuarantined(assessment);
  }

  #add(entry: QuarantinedPart): void {
    const { part, releaseOffset } = entry;
    if (this.#quarantined.has(part)) return;
    if (isLaterRelease(this.#options.releaseOffset(part), releaseOffset)) {
      return;
    }
    this.#quarantined.set(part, entry);
    for (const oldest of this.#quarantined.keys()) {
      if (this.#quarantined.size <= MAX_QUARANTINED_PARTS) return;
      this.#quarantined.delete(oldest);
    }
  }

  /**
   * Returns the trial of a held part that is under way, or grants a new one
   * once harmless requests would have been reported.
   */
  #findTrial(
    { part, crashes, needsTrial, lastCrashAtMs }: PartAssessment,
    { wantedBy, settleMs, nowMs }: {
      readonly wantedBy: string | undefined;
      readonly settleMs: number;
      readonly nowMs: number;
    },
  ): TrialGrant | undefined {
    const last = this.#trials.get(part);
    if (last !== undefined && last.atMs > lastCrashAtMs) {
      if (nowMs - last.atMs < TRIAL_MS) return last.grant;
    }
    const mayTry = crashes >= HELD_CRASHES && needsTrial &&
      nowMs - lastCrashAtMs >= settleMs;
    if (!mayTry || wantedBy === undefined) {
      if (!mayTry) this.#trials.delete(part);
      return undefined;
    }
    this.#trialCount += 1;
    const id = `${this.#options.term}-${this.#trialCount}`;
    const grant = { nodeId: wantedBy, id };
    this.#trials.set(part, { grant, atMs: nowMs });
    return grant;
  }
}

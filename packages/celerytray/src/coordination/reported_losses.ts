import { Effect } from "effect";
import type {
  InstanceAddress,
  InstanceControl,
  InstanceState,
  Reaches,
  SilenceReason,
} from "../groups/index.ts";
import { type LossProof, splitIncarnationKey } from "../serving/index.ts";

/** What is known of the instances that processes report as lost. */
export interface LossSources {
  readonly isListLoaded: () => boolean;
  readonly findInstance: (
    id: string,
  ) => Pick<InstanceState, "address" | "bornAtMs"> | undefined;
  readonly probe: InstanceControl["probe"];
}

/** Dependencies of the check of reported losses. */
export interface ReportedLossesOptions extends LossSources {
  /** Whether this process and others reach instances that are silent here. */
  readonly askReaches: (
    instances: readonly InstanceAddress[],
  ) => Effect.Effect<readonly Reaches[]>;
  /** Called once a loss is disproved. */
  readonly onAlive: (incarnation: string) => void;
  readonly nowMs: () => number;
}

type Finding = "answered" | SilenceReason;

interface Check {
  proof: LossProof;
  /** Time of the last report. */
  reportedAtMs: number;
  /** Time from which it may be probed. */
  dueAtMs: number;
  /** Time since which each probe got a connection, but no answer. */
  unansweredSinceMs?: number;
  /** Time since which no probe got a connection. */
  silentSinceMs?: number;
  /** Time at which the instance was found alive. */
  aliveAtMs?: number;
}

const ROUND_INTERVAL_MS = 50;
/** Interval between two probes of an instance whose loss is open. */
const PROBE_INTERVAL_MS = 200;
const PROBE_TIMEOUT_MS = 500;
const MAX_CONCURRENT_PROBES = 32;
/**
 * Time for which an instance takes connections, but answers none, until it counts
 * as alive. What is in front of one that ended may take them as well, but it
 * begins another life within this.
 */
const MAX_UNANSWERED_MS = 4_000;
/** Silence after which others are asked; a sound instance may be silent for less. */
const MAX_SILENCE_MS = 2_500;
/** Interval between two questions to others while nobody can tell. */
const ASK_INTERVAL_MS = 1_000;
/**
 * Time for which an instance that was found alive may turn out to have begun
 * another life before.
 */
const LIST_LAG_MS = 3_000;
/** Time after the last report for which a check is remembered, as losses are. */
const MEMORY_MS = 3_600_000;
const MAX_CHECKS = 512;

/**
 * Checks whether the incarnations that processes report as lost have ended. A
 * connection may be lost, or refused by an instance that is full, while the
 * instance lives, and not all builds tell that apart.
 */
export class ReportedLosses {
  readonly #options: ReportedLossesOptions;
  readonly #checks = new Map<string, Check>();

  constructor(options: ReportedLossesOptions) {
    this.#options = options;
  }

  /** Notes the incarnations that are reported, and what the list says of them. */
  note(incarnations: Iterable<string>): void {
    const nowMs = this.#options.nowMs();
    for (const incarnation of incarnations) {
      const check = this.#checks.get(incarnation) ?? createCheck(nowMs);
      check.reportedAtMs = nowMs;
      this.#checks.delete(incarnation);
      this.#checks.set(incarnation, check);
    }
    for (const [incarnation, check] of this.#checks) {
      if (this.#hasEnded(incarnation, check, nowMs)) check.proof = "lost";
    }
    for (const [incarnation, { reportedAtMs }] of this.#checks) {
      const isKept = this.#checks.size <= MAX_CHECKS &&
        nowMs - reportedAtMs <= MEMORY_MS;
      if (isKept) break;
      this.#checks.delete(incarnation);
    }
  }

  /** Whether the loss of an incarnation is proved. */
  proofOf(incarnation: string): LossProof {
    return this.#checks.get(incarnation)?.proof ?? "open";
  }

  /** Probes the instances whose losses are open. */
  run(): Effect.Effect<never> {
    return Effect.suspend(() =>
      Effect.forEach(
        this.#takeDue(),
        ([incarnation, check]) => this.#probe(incarnation, check),
        { concurrency: MAX_CONCURRENT_PROBES, discard: true },
      )
    ).pipe(
      Effect.andThen(Effect.sleep(ROUND_INTERVAL_MS)),
      Effect.forever,
    );
  }

  /** Whether the list shows that an incarnation has ended. */
  #hasEnded(incarnation: string, check: Check, nowMs: number): boolean {
    const { isListLoaded, findInstance } = this.#options;
    const { proof, aliveAtMs = nowMs } = check;
    const isDecided = proof === "lost" || nowMs - aliveAtMs > LIST_LAG_MS;
    if (isDecided || !isListLoaded()) return false;
    const { instanceId, life } = splitIncarnationKey(incarnation);
    const instance = findInstance(instanceId);
    if (instance === undefined) return proof === "open";
    return instance.bornAtMs !== undefined && instance.bornAtMs > life;
  }

  #takeDue(): readonly (readonly [string, Check])[] {
    const nowMs = this.#options.nowMs();
    const due = [...this.#checks].filter(([, { proof, dueAtMs }]) =>
      proof === "open" && nowMs >= dueAtMs
    );
    for (const [, check] of due) check.dueAtMs = nowMs + PROBE_INTERVAL_MS;
    return due;
  }

  #probe(incarnation: string, check: Check): Effect.Effect<void> {
    const { instanceId: id } = splitIncarnationKey(incarnation);
    const address = this.#options.findInstance(id)?.address;
    if (address === undefined) return Effect.void;
    const instance = { id, address };
    return this.#options.probe(instance).pipe(
      Effect.match({
        onSuccess: (): Finding => "answered",
        onFailure: ({ reason }): Finding => reason,
      }),
      Effect.timeoutOrElse({
        duration: PROBE_TIMEOUT_MS,
        orElse: () => Effect.succeed<Finding>("unreachable"),
      }),
      Effect.flatMap((finding) =>
        this.#isLongSilent(check, finding)
          ? this.#ask(incarnation, check, instance)
          : Effect.sync(() => this.#conclude(incarnation, check, finding))
      ),
    );
  }

  #isLongSilent(check: Check, finding: Finding): boolean {
    const { silentSinceMs } = check;
    return finding === "unreachable" && silentSinceMs !== undefined &&
      this.#options.nowMs() - silentSinceMs >= MAX_SILENCE_MS;
  }

  /** Concludes from what this process and others reach. */
  #ask(
    incarnation: string,
    check: Check,
    instance: InstanceAddress,
  ): Effect.Effect<void> {
    check.dueAtMs = this.#options.nowMs() + ASK_INTERVAL_MS;
    return Effect.map(this.#options.askReaches([instance]), (answers) => {
      const reaches = answers.map((answer) => answer[instance.id]);
      if (reaches.includes("answered")) this.#noteAlive(incarnation, check);
      else if (reaches.includes("unanswered")) this.#noteLost(check);
    });
  }

  #conclude(incarnation: string, check: Check, finding: Finding): void {
    switch (finding) {
      case "answered":
        this.#noteAlive(incarnation, check);
        break;
      case "refused":
      case "replaced":
        this.#noteLost(check);
        break;
      case "unanswered":
        delete check.silentSinceMs;
        check.unansweredSinceMs ??= this.#options.nowMs();
        if (
          this.#options.nowMs() - check.unansweredSinceMs >= MAX_UNANSWERED_MS
        ) {
          this.#noteAlive(incarnation, check);
        }
        break;
      case "unreachable":
        delete check.unansweredSinceMs;
        check.silentSinceMs ??= this.#options.nowMs();
    }
  }

  #noteAlive(incarnation: string, check: Check): void {
    if (check.proof !== "open") return;
    check.proof = "alive";
    check.aliveAtMs = this.#options.nowMs();
    this.#options.onAlive(incarnation);
  }

  #noteLost(check: Check): void {
    if (check.proof === "open") check.proof = "lost";
  }
}

function createCheck(nowMs: number): Check {
  return {
    proof: "open",
    reportedAtMs: nowMs,
    dueAtMs: nowMs,
  };
}

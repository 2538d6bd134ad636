import { BenchRandom } from "../routing/bench_random.ts";
import { EventQueue } from "../routing/event_queue.ts";
import type { AdmissionPolicy, OfferedRequest } from "./admission_policies.ts";

/** An organisation of the load. */
export interface LoadOrganisation {
  readonly name: string;
  readonly weight: number;
  /** Part of all requests that it sends. */
  readonly demandShare: number;
}

/** One load for one policy. */
export interface AdmissionScenario {
  readonly organisations: readonly LoadOrganisation[];
  readonly slotCount: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

/** What came of it. */
export interface AdmissionRun {
  /** Requests a second whose first token came within the deadline. */
  readonly goodputPerSecond: number;
  readonly firstTokenMs: readonly number[];
  /** Refused on arrival. */
  readonly refused: number;
  /** Admitted to the queue, but never started. */
  readonly givenUp: number;
  readonly goodByOrganisation: ReadonlyMap<string, number>;
}

export const PREFILL_MS = 60;
export const MEAN_SERVICE_MS = 1_000;
const DEADLINE_MS = 350;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 300_000;
const MS_PER_SECOND = 1_000;

/** Plays one load against one policy in virtual time. */
export function simulateAdmission(
  scenario: AdmissionScenario,
  policy: AdmissionPolicy,
): AdmissionRun {
  const queue = new EventQueue();
  const random = new BenchRandom(scenario.seed);
  const firstTokenMs: number[] = [];
  const goodByOrganisation = new Map<string, number>();
  let refused = 0;
  let offered = 0;
  const endMs = WARM_UP_MS + MEASURED_MS;
  const isMeasured = (request: OfferedRequest) =>
    request.arrivedAtMs >= WARM_UP_MS;
  const noteFirstToken = (request: OfferedRequest, nowMs: number) => {
    if (!isMeasured(request)) return;
    firstTokenMs.push(nowMs - request.arrivedAtMs);
    if (nowMs > request.deadlineAtMs) return;
    const { organisationName: name } = request;
    goodByOrganisation.set(name, (goodByOrganisation.get(name) ?? 0) + 1);
  };
  const startNext = (nowMs: number): void => {
    for (const request of policy.startNext(nowMs)) {
      const decodeMs = random.exponential(MEAN_SERVICE_MS - PREFILL_MS);
      queue.schedule(
        nowMs + PREFILL_MS,
        (atMs) => noteFirstToken(request, atMs),
      );
      queue.schedule(nowMs + PREFILL_MS + decodeMs, (atMs) => {
        policy.finish(request, { nowMs: atMs, firstTokenMs: PREFILL_MS });
        startNext(atMs);
      });
    }
  };
  const arrive = (nowMs: number): void => {
    if (nowMs >= endMs) return;
    const request = createRequest(scenario, { random, nowMs });
    const isAdmitted = policy.offer(request, nowMs);
    if (isMeasured(request)) {
      offered += 1;
      if (!isAdmitted) refused += 1;
    }
    startNext(nowMs);
    const gapMs = MS_PER_SECOND / scenario.requestsPerSecond;
    queue.schedule(nowMs + random.exponential(gapMs), arrive);
  };
  queue.schedule(0, arrive);
  queue.runAll();
  const good = [...goodByOrganisation.values()].reduce((a, b) => a + b, 0);
  return {
    goodputPerSecond: good / MEASURED_MS * MS_PER_SECOND,
    firstTokenMs,
    refused,
    givenUp: offered - refused - firstTokenMs.length,
    goodByOrganisation,
  };
}

function createRequest(
  scenario: AdmissionScenario,
  at: { readonly random: BenchRandom; readonly nowMs: number },
): OfferedRequest {
  let rest = at.random.unit();
  const { organisations } = scenario;
  const chosen = organisations.find(({ demandShare }) => {
    rest -= demandShare;
    return rest <= 0;
  }) ?? organisations.at(-1)!;
  return {
    organisationName: chosen.name,
    weight: chosen.weight,
    arrivedAtMs: at.nowMs,
    deadlineAtMs: at.nowMs + DEADLINE_MS,
  };
}

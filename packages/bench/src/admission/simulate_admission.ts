import { BenchRandom } from "../routing/bench_random.ts";
import { EventQueue } from "../routing/event_queue.ts";
import type { AdmissionPolicy, OfferedRequest } from "./admission_policies.ts";

/** An organisation that sends part of the load. */
export interface LoadOrganisation {
  readonly name: string;
  readonly weight: number;
  /** Share of all requests. */
  readonly demandShare: number;
}

/** A load and the capacity of the server. */
export interface AdmissionScenario {
  readonly organisations: readonly LoadOrganisation[];
  readonly slotCount: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

/** Results of a simulated run. */
export interface AdmissionRun {
  /** Requests a second whose first token came within the deadline. */
  readonly goodputPerSecond: number;
  /** Times from arrival to the first token. */
  readonly firstTokenMs: readonly number[];
  /** Refused on arrival. */
  readonly refusedCount: number;
  /** Admitted to the queue, but never started. */
  readonly neverStartedCount: number;
  /** Requests whose first token came within the deadline. */
  readonly goodByOrganisation: ReadonlyMap<string, number>;
}

/** Time from a request's start to its first token. */
export const PREFILL_MS = 60;
/** Mean time from a request's start to its end. */
export const MEAN_SERVICE_MS = 1_000;
const DEADLINE_MS = 350;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 300_000;
const MS_PER_SECOND = 1_000;

/** Simulates a load under an admission policy in virtual time. */
export function simulateAdmission(
  scenario: AdmissionScenario,
  policy: AdmissionPolicy,
): AdmissionRun {
  const queue = new EventQueue();
  const random = new BenchRandom(scenario.seed);
  const firstTokenMs: number[] = [];
  const goodByOrganisation = new Map<string, number>();
  let refusedCount = 0;
  let offeredCount = 0;
  const endMs = WARM_UP_MS + MEASURED_MS;
  const isMeasured = (request: OfferedRequest) =>
    request.arrivedAtMs >= WARM_UP_MS;
  const recordFirstToken = (request: OfferedRequest, nowMs: number) => {
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
        (atMs) => recordFirstToken(request, atMs),
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
      offeredCount += 1;
      if (!isAdmitted) refusedCount += 1;
    }
    startNext(nowMs);
    const meanGapMs = MS_PER_SECOND / scenario.requestsPerSecond;
    queue.schedule(nowMs + random.exponential(meanGapMs), arrive);
  };
  queue.schedule(0, arrive);
  queue.runAll();
  const goodCount = [...goodByOrganisation.values()].reduce((a, b) => a + b, 0);
  return {
    goodputPerSecond: goodCount / MEASURED_MS * MS_PER_SECOND,
    firstTokenMs,
    refusedCount,
    neverStartedCount: offeredCount - refusedCount - firstTokenMs.length,
    goodByOrganisation,
  };
}

function createRequest(
  scenario: AdmissionScenario,
  context: { readonly random: BenchRandom; readonly nowMs: number },
): OfferedRequest {
  let remainingShare = context.random.unit();
  const { organisations } = scenario;
  const chosen = organisations.find(({ demandShare }) => {
    remainingShare -= demandShare;
    return remainingShare <= 0;
  }) ?? organisations.at(-1)!;
  return {
    organisationName: chosen.name,
    weight: chosen.weight,
    arrivedAtMs: context.nowMs,
    deadlineAtMs: context.nowMs + DEADLINE_MS,
  };
}

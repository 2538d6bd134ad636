import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { endProcess } from "./coordinated_process.ts";
import {
  createSimulatedCluster,
  findKnownTerm,
  SHARED_MODEL,
  SHARED_TENANT,
  type SimulatedCluster,
  STEP_MS,
} from "./simulated_cluster.ts";

const SEED = 47;
const SIZES = [7, 100, 390];
/** Time in which starting processes find a leader and their relays. */
const SETTLE_MS = 9_000;
const OBSERVATION_MS = 2_000;
/** Reports per second: received by any process, and sent by each on average. */
const MAX_REPORTS_PER_SECOND = 110;
const MAX_SENT_PER_SECOND = 4.5;
/** These bounds hold for every cluster size. */
const MAX_PROOF_AGE_MS = 1_700;
/** A head stalls and resumes once in this many steps of the time. */
const STALL_PERIOD_STEPS = 6;
const MAX_LEAVING_PROPAGATION_MS = 500;
/** Organisations reported by name, whatever their number. */
const MAX_TENANTS = 32;
const MAX_FAILOVER_MS = 2_500;
/** Store calls of all processes after the loss of a leader, per relay. */
const MAX_STORE_CALLS_PER_RELAY = 6;

describe("a cluster of up to 390 processes", () => {
  it("keeps report rates and proof ages bounded at any size", async () => {
    for (const size of SIZES) {
      await simulate(size, function* (cluster) {
        const before = cluster.processes.map(({ reportCount }) => reportCount);
        yield* advance(OBSERVATION_MS);
        const rates = cluster.processes.map(({ reportCount }, index) =>
          (reportCount - before[index]!) / (OBSERVATION_MS / 1_000)
        );
        const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / size;
        expect(Math.max(...rates) <= MAX_REPORTS_PER_SECOND).toEqual(true);
        expect(meanRate <= MAX_SENT_PER_SECOND).toEqual(true);
        for (const { coordinator, relayedProofAtMs } of cluster.processes) {
          if (coordinator.isLeading) continue;
          expect(cluster.nowMs() - relayedProofAtMs <= MAX_PROOF_AGE_MS)
            .toEqual(true);
          expect(coordinator.countProcesses()).toEqual(size);
        }
      });
    }
  });

  // Guards against replies with the configuration that are given up over and
  // over, as urgent news ends the wait for each of them.
  it("hears of the configuration while heads stall and resume all the time", async () => {
    for (const size of SIZES) {
      await simulate(size, function* (cluster) {
        const process = cluster.processes.at(-1)!;
        for (let step = 0; step < OBSERVATION_MS / STEP_MS; step++) {
          const isStalled = step % STALL_PERIOD_STEPS < STALL_PERIOD_STEPS / 2;
          if (isStalled) process.stalledHeads.add("head");
          else process.stalledHeads.delete("head");
          yield* TestClock.adjust(STEP_MS);
          const proofAgeMs = cluster.nowMs() - process.relayedProofAtMs;
          expect(proofAgeMs <= MAX_PROOF_AGE_MS).toEqual(true);
        }
      });
    }
  });

  it("shares total demand, with a bounded number of organisations", async () => {
    for (const size of SIZES) {
      await simulate(size, function* ({ processes }) {
        yield* advance(OBSERVATION_MS);
        for (const { coordinator } of processes) {
          const { byModel, byTenant } = coordinator.demandTotals()!;
          expect(byModel[SHARED_MODEL]).toEqual(size);
          expect(byTenant[SHARED_TENANT]).toEqual(size);
          expect(Object.keys(byTenant).length <= MAX_TENANTS).toEqual(true);
        }
      });
    }
  });

  it("elects a leader on one of the largest machines", async () => {
    for (const size of SIZES) {
      await simulate(size, function* ({ processes, findLeader }) {
        yield* Effect.void;
        const maxCores = Math.max(...processes.map(({ node }) => node.cores));
        expect(findLeader()!.node.cores).toEqual(maxCores);
      });
    }
  });

  it("learns within half a second that an instance is leaving", async () => {
    for (const size of SIZES) {
      await simulate(size, function* ({ processes }) {
        processes.at(-1)!.leaving.set("i", { instanceId: "i", bornAtMs: 1 });
        yield* advance(MAX_LEAVING_PROPAGATION_MS);
        const informed = processes.filter(({ leaving }) => leaving.has("i"));
        expect(informed.length).toEqual(size);
      });
    }
  });

  for (const state of ["killed", "powered-off"] as const) {
    it(`follows a new leader soon after the old one is ${state}, with few store calls and reports`, async () => {
      for (const size of SIZES) {
        await simulate(size, function* (cluster) {
          const before = countStoreCalls(cluster);
          const countsBefore = cluster.processes.map(({ reportCount }) =>
            reportCount
          );
          const leader = cluster.findLeader()!;
          endProcess(leader, state);
          yield* advance(MAX_FAILOVER_MS);
          const rates = cluster.processes.map(({ reportCount }, index) =>
            (reportCount - countsBefore[index]!) / (MAX_FAILOVER_MS / 1_000)
          );
          expect(Math.max(...rates) <= MAX_REPORTS_PER_SECOND).toEqual(true);
          const next = cluster.findLeader();
          expect(next !== undefined).toEqual(true);
          const term = findKnownTerm(cluster, next!);
          const behind = cluster.processes.filter((process) =>
            process !== leader && findKnownTerm(cluster, process) !== term
          );
          expect(behind.length).toEqual(0);
          const relays = Math.max(6, Math.ceil(Math.sqrt(size)));
          const calls = countStoreCalls(cluster) - before;
          expect(calls <= relays * MAX_STORE_CALLS_PER_RELAY).toEqual(true);
        });
      }
    });
  }

  // Guards against a status and a configuration that count as new for ever, as
  // a process that has just started measures too long a hold time.
  it("takes no status for newer than its reply", async () => {
    await simulate(7, function* (cluster) {
      for (let round = 0; round < 3; round++) {
        const leader = cluster.findLeader()!;
        const killed = cluster.processes.filter((process, index) =>
          process === leader || index % 2 === 0
        );
        for (const process of killed) {
          endProcess(process, "killed");
          yield* cluster.restart(process);
        }
        for (
          let passedMs = 0;
          passedMs < MAX_FAILOVER_MS;
          passedMs += STEP_MS
        ) {
          yield* TestClock.adjust(STEP_MS);
          for (const { coordinator } of cluster.processes) {
            expect((coordinator.statusAgeMs() ?? 0) >= 0).toEqual(true);
          }
        }
      }
    });
  });

  it("elects a leader soon after most processes are killed together", async () => {
    await simulate(100, function* (cluster) {
      cluster.processes.forEach((process, index) => {
        if (index % 4 !== 0) endProcess(process, "killed");
      });
      yield* advance(2 * MAX_FAILOVER_MS);
      expect(cluster.findLeader() !== undefined).toEqual(true);
    });
  });
});

function countStoreCalls({ storeCalls }: SimulatedCluster): number {
  return [...storeCalls.values()].reduce((sum, calls) => sum + calls, 0);
}

/** Runs a test on a cluster that has settled, in virtual time. */
function simulate(
  size: number,
  run: (cluster: SimulatedCluster) => Generator<Effect.Effect<void>, void>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const cluster = yield* createSimulatedCluster({ seed: SEED, size });
    yield* advance(SETTLE_MS);
    yield* Effect.gen(() => run(cluster));
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}

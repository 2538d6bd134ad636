import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { type CoordinatedProcess, endProcess } from "./coordinated_process.ts";
import {
  createSimulatedCluster,
  type SimulatedCluster,
  STEP_MS,
} from "./simulated_cluster.ts";

const SERVICE = "drafts";
/** Seeds of the days, by number of processes. */
const SEEDS: Readonly<Record<number, readonly number[]>> = {
  7: [47, 48, 49],
  83: [48],
};
/** Time in which starting processes find a leader and their relays. */
const SETTLE_MS = 9_000;
const DAY_MS = 24_000;
const WINDOW_MS = 10_000;
const SHARE = 0.2;
/** Requests a second of all processes. */
const REQUESTS_PER_SECOND = 280;
/** Share of the requests that want a retry, and how often each wants one. */
const FAILING_SHARE = 0.9;
const RETRIES_WANTED = 3;
/** Share of the bound that is used where more is wanted on a calm day. */
const MIN_USED_SHARE = 0.4;

/** What happens to a cluster over a day. */
interface Trouble {
  readonly name: string;
  /** Times from the start at which it strikes. */
  readonly atMs: readonly number[];
  readonly strike: (cluster: SimulatedCluster) => Effect.Effect<void>;
  /** Times between which requests fail; all day if absent. */
  readonly failing?: readonly [number, number];
}

const TROUBLES: readonly Trouble[] = [
  { name: "nothing happens", atMs: [], strike: () => Effect.void },
  {
    name: "many requests fail at once",
    atMs: [],
    strike: () => Effect.void,
    failing: [6_000, 20_000],
  },
  {
    name: "the leader is killed again and again",
    atMs: [4_000, 8_000, 12_000, 16_000, 20_000],
    strike: (cluster) => kill(cluster, (process) => isLeader(cluster, process)),
  },
  ...[500, 1_500, 3_000, 4_500].map((delayMs): Trouble => ({
    name: `the leader is killed ${delayMs} ms after many requests fail`,
    atMs: [6_000 + delayMs, 9_500 + delayMs],
    strike: (cluster) => kill(cluster, (process) => isLeader(cluster, process)),
    failing: [6_000, 20_000],
  })),
  ...[1_500, 3_000].map((delayMs): Trouble => ({
    name:
      `the leader and half of the processes are killed ${delayMs} ms after many requests fail`,
    atMs: [6_000 + delayMs, 9_500 + delayMs],
    strike: (cluster) =>
      kill(
        cluster,
        (process, index) => isLeader(cluster, process) || index % 2 === 0,
      ),
    failing: [6_000, 20_000],
  })),
  {
    name: "all processes are killed after many requests fail",
    atMs: [8_000],
    strike: (cluster) => kill(cluster, () => true),
    failing: [6_000, 20_000],
  },
];

// Guards against retries beyond the bound that all processes share, as counts
// are lost with a leader, or with processes that end.
describe("the retries of all processes", () => {
  for (const trouble of TROUBLES) {
    for (const [size, seeds] of Object.entries(SEEDS)) {
      it(`keep to their bound while ${trouble.name}, with ${size} processes`, async () => {
        for (const seed of seeds) {
          const { mostUsed, meanUsed } = await play({
            seed,
            size: Number(size),
            trouble,
          });
          expect(mostUsed <= 1).toEqual(true);
          if (trouble.atMs.length > 0 || trouble.failing !== undefined) {
            continue;
          }
          expect(meanUsed >= MIN_USED_SHARE).toEqual(true);
        }
      });
    }
  }
});

/** Retries of all processes within a window, as shares of the bound. */
interface Usage {
  readonly mostUsed: number;
  readonly meanUsed: number;
}

function play(
  { seed, size, trouble }: {
    readonly seed: number;
    readonly size: number;
    readonly trouble: Trouble;
  },
): Promise<Usage> {
  const [failsFromMs, failsUntilMs] = trouble.failing ?? [0, DAY_MS];
  const slackRequests = 50 * Math.sqrt(size);
  const program = Effect.gen(function* () {
    const cluster = yield* createSimulatedCluster({
      seed,
      size,
      retryBound: { share: SHARE, slackRequests, windowMs: WINDOW_MS },
    });
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
    const requests = new SlidingCount();
    const retries = new SlidingCount();
    const used: number[] = [];
    let sent = 0;
    for (let passedMs = 0; passedMs < DAY_MS; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
      if (trouble.atMs.includes(passedMs)) yield* trouble.strike(cluster);
      const isFailing = passedMs >= failsFromMs && passedMs < failsUntilMs;
      const nowMs = cluster.nowMs();
      const due = (passedMs * REQUESTS_PER_SECOND) / 1_000;
      for (; sent < due; sent++) {
        const process = choose(cluster, sent);
        process.retryBudget.noteRequest(SERVICE, nowMs);
        requests.add(nowMs, 1);
        if (!isFailing || sent % 10 >= 10 * FAILING_SHARE) continue;
        for (let wanted = 0; wanted < RETRIES_WANTED; wanted++) {
          if (!process.retryBudget.trySpend(SERVICE, nowMs)) break;
          retries.add(nowMs, 1);
        }
      }
      const bound = SHARE * requests.total(nowMs) + slackRequests;
      used.push(retries.total(nowMs) / bound);
    }
    return {
      mostUsed: Math.max(...used),
      meanUsed: used.reduce((sum, share) => sum + share, 0) / used.length,
    };
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** The process that a request goes to; a fifth of them get half of all. */
function choose(
  { processes }: SimulatedCluster,
  request: number,
): CoordinatedProcess {
  const spread = (request * 2_654_435_761) % 2 ** 32;
  const count = request % 2 === 0
    ? processes.length
    : Math.ceil(processes.length / 5);
  return processes[spread % count]!;
}

function isLeader(
  { findLeader }: SimulatedCluster,
  process: CoordinatedProcess,
): boolean {
  return findLeader() === process;
}

/** Kills processes, which start again at once. */
function kill(
  cluster: SimulatedCluster,
  select: (process: CoordinatedProcess, index: number) => boolean,
): Effect.Effect<void> {
  const chosen = cluster.processes.filter(select);
  return Effect.forEach(chosen, (process) => {
    endProcess(process, "killed");
    return cluster.restart(process);
  }, { discard: true });
}

/** Counts within the last window. */
class SlidingCount {
  readonly #entries: { readonly atMs: number; readonly count: number }[] = [];
  #total = 0;

  add(atMs: number, count: number): void {
    this.#entries.push({ atMs, count });
    this.#total += count;
  }

  total(nowMs: number): number {
    while (nowMs - (this.#entries[0]?.atMs ?? nowMs) >= WINDOW_MS) {
      this.#total -= this.#entries.shift()!.count;
    }
    return this.#total;
  }
}

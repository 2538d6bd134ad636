import { expect } from "earl";
import { describe, it } from "node:test";
import { InstanceLimits } from "./instance_limits.ts";
import { LimitBoard } from "./limit_board.ts";
import { mergeLimitReports, type SharedLimit } from "./limit_report.ts";

const TARGET = { instanceId: "h0", bornAtMs: 1, epoch: 1 };
const POOL = "pool";
const STEP_MS = 10;
const MESSAGE_MS = 250;
const WINDOW_MS = 4_000;
/** Time after the first naming from which the users' bound holds. */
const BOUND_MS = 3_000;
const DURATION_MS = 30_000;
/** Requests a second that each process gets on average. */
const PROCESS_RATE = 5;
/** Share of the limit that callers should get while they press on it. */
const MIN_USED_SHARE = 0.75;

interface LimitDay {
  readonly processes: number;
  readonly perSecond: number;
  /** Share of the requests that the first process gets. */
  readonly skew?: number;
  readonly changeLimitAtMs?: number;
  readonly newLeaderAtMs?: number;
  /** When the owners of the limit end. */
  readonly ownersEndAtMs?: number;
  /** When the leader's status stops reaching the processes. */
  readonly silentFromMs?: number;
}

// Guards against an instance that gets far more requests than it says it takes,
// as each process knew only its own requests.
describe("the request rate that an instance allows", () => {
  for (const processes of [9, 195, 390]) {
    for (const perSecond of [0.3, 1, 5, 20]) {
      it(`holds over ${processes} processes at ${perSecond} a second`, () => {
        const sentAtMs = playDay({ processes, perSecond });
        expectBound(sentAtMs, perSecond);
        const used = countBetween(sentAtMs, BOUND_MS, DURATION_MS) /
          ((DURATION_MS - BOUND_MS) / 1_000);
        expect(used >= perSecond * MIN_USED_SHARE).toEqual(true);
      });
    }
  }

  it("is used by the processes that have the requests", () => {
    const sentAtMs = playDay({ processes: 9, perSecond: 5, skew: 0.9 });
    expectBound(sentAtMs, 5);
    expect(sentAtMs.length >= 5 * MIN_USED_SHARE * DURATION_MS / 1_000)
      .toEqual(true);
  });

  it("holds when another process leads, and when its owners end", () => {
    const day = { processes: 9, perSecond: 2 };
    expectBound(playDay({ ...day, newLeaderAtMs: 8_000 }), 2);
    const sentAtMs = playDay({ ...day, ownersEndAtMs: 8_000 });
    expectBound(sentAtMs, 2);
    expect(countBetween(sentAtMs, 15_000, DURATION_MS) > 15).toEqual(true);
  });

  it("holds while no leader is heard", () => {
    const day = { processes: 9, perSecond: 3 };
    expectBound(playDay({ ...day, silentFromMs: 0 }), 3);
    expectBound(playDay({ ...day, silentFromMs: 8_000 }), 3);
  });

  it("holds when the instance lowers it", () => {
    const sentAtMs = playDay({
      processes: 9,
      perSecond: 10,
      changeLimitAtMs: 10_000,
    });
    expectBound(sentAtMs.filter((atMs) => atMs > 10_000 + BOUND_MS), 1);
  });

  it("ends at all processes once answers no longer name it", () => {
    const limits = createProcesses(2, () => true);
    const board = new LimitBoard({ published: [], nowMs: 0 });
    const name = (perSecond: number | undefined, nowMs: number) =>
      limits[0]!.noteResponse({
        target: TARGET,
        pool: POOL,
        perSecond,
        sentAtMs: nowMs,
      }, nowMs);
    const exchange = (nowMs: number) => {
      const report = mergeLimitReports(
        limits.map((each) => each.report(nowMs)),
      );
      const published = board.update(report, nowMs);
      for (const each of limits) each.adopt(published, nowMs);
    };
    for (const each of limits) each.noteSought(POOL, 0);
    name(2, 0);
    exchange(100);
    expect(limits[1]!.isLimited(TARGET, 200)).toEqual(true);
    name(undefined, 1_000);
    exchange(1_100);
    expect(limits.map((each) => each.isLimited(TARGET, 1_200)))
      .toEqual([false, false]);
  });

  it("is not ended by a response that was under way when it began", () => {
    const [limits] = createProcesses(1, () => true);
    const response = { target: TARGET, pool: POOL };
    const owners = ["node-0"];
    limits!.adopt(
      [{ incarnation: "h0 1", pool: POOL, perSecond: 2, owners }],
      500,
    );
    limits!.noteResponse(
      { ...response, perSecond: undefined, sentAtMs: 0 },
      600,
    );
    expect(limits!.isLimited(TARGET, 600)).toEqual(true);
    limits!.noteResponse(
      { ...response, perSecond: undefined, sentAtMs: 700 },
      800,
    );
    expect(limits!.isLimited(TARGET, 800)).toEqual(false);
  });

  it("does not outlast the instance's life", () => {
    const [limits] = createProcesses(1, () => true);
    limits!.noteResponse(
      { target: TARGET, pool: POOL, perSecond: 1, sentAtMs: 0 },
      0,
    );
    expect(limits!.isLimited(TARGET, 10)).toEqual(true);
    expect(limits!.isLimited({ ...TARGET, bornAtMs: 2 }, 10)).toEqual(false);
  });
});

function createProcesses(
  count: number,
  isStatusFresh: () => boolean,
): readonly InstanceLimits[] {
  return Array.from({ length: count }, (_, index) =>
    new InstanceLimits({
      nodeId: `node-${index}`,
      countProcesses: () => count,
      isStatusFresh,
      onChange: () => {},
    }));
}

/**
 * Plays a day on which callers press far beyond the limit; returns when
 * requests were sent.
 */
function playDay(day: LimitDay): readonly number[] {
  let nowMs = 0;
  const isStatusFresh = () => nowMs < (day.silentFromMs ?? Infinity);
  const processes = createProcesses(day.processes, isStatusFresh);
  let board = new LimitBoard({ published: [], nowMs });
  let published: readonly SharedLimit[] = [];
  const ended = new Set<number>();
  const sentAtMs: number[] = [];
  let arrivals = 0;
  for (; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const isLowered = nowMs >= (day.changeLimitAtMs ?? Infinity);
    const perSecond = isLowered ? 1 : day.perSecond;
    const due = nowMs * day.processes * PROCESS_RATE / 1_000;
    while (arrivals < due) {
      arrivals += 1;
      const isSkewed = arrivals % 10 < (day.skew ?? 0) * 10;
      const index = isSkewed ? 0 : arrivals * 7 % day.processes;
      const process = processes[index]!;
      if (ended.has(index)) continue;
      process.noteSought(POOL, nowMs);
      if (!process.tryTakeToken(TARGET, nowMs)) continue;
      sentAtMs.push(nowMs);
      process.noteResponse(
        { target: TARGET, pool: POOL, perSecond, sentAtMs: nowMs },
        nowMs,
      );
    }
    if (nowMs === day.newLeaderAtMs) {
      board = new LimitBoard({ published, nowMs });
    }
    if (nowMs === day.ownersEndAtMs) {
      for (const owner of published[0]!.owners) {
        ended.add(Number(owner.slice("node-".length)));
      }
    }
    if (nowMs % MESSAGE_MS !== 0 || !isStatusFresh()) continue;
    processes.forEach((each, index) => {
      if (!ended.has(index)) each.adopt(published, nowMs);
    });
    const present = processes.filter((_, index) => !ended.has(index));
    const reports = present.map((each) => each.report(nowMs));
    published = board.update(mergeLimitReports(reports), nowMs);
  }
  return sentAtMs;
}

function countBetween(
  timesMs: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
}

/** Checks the users' bound: 1.5 times the limit and 5 requests in any 4 s. */
function expectBound(sentAtMs: readonly number[], perSecond: number): void {
  const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
  for (let fromMs = BOUND_MS; fromMs < DURATION_MS; fromMs += 100) {
    const sent = countBetween(sentAtMs, fromMs, fromMs + WINDOW_MS);
    if (sent > allowed) console.error({ fromMs, sent, allowed });
    expect(sent <= allowed).toEqual(true);
  }
}

import { expect } from "earl";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { it } from "node:test";
import { chooseTarget, type ServingTarget } from "./choose_target.ts";
import { LoadTracker } from "./load_tracker.ts";

/** The heads of a model, the processes that send to them, and the load. */
interface Scenario {
  readonly processes: number;
  readonly heads: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
}

interface Figures {
  /** Ratio of the busiest head's mean load to the mean of all heads. */
  readonly busiest: number;
  readonly newConnections: number;
}

const DURATION_MS = 40_000;
const WARM_UP_MS = 10_000;
/** Time after which idle connections are closed. */
const IDLE_MS = 5_000;
const ZONES = 3;
const TOKENS = 80;
const STEP_MS = 6.3;
const STEP_PER_REQUEST_MS = 0.34;

interface Running {
  readonly endsAtMs: number;
  readonly request: Waiting;
}

interface Waiting {
  readonly process: SimulatedProcess;
}

interface SimulatedHead {
  readonly target: ServingTarget;
  running: Running[];
  readonly waiting: Waiting[];
  workMs: number;
}

class SimulatedProcess {
  readonly zone: string;
  readonly loads = new LoadTracker();
  /** Times from which connections are idle, by address. */
  readonly free = new Map<string, number[]>();

  constructor(id: number) {
    this.zone = `z${id % ZONES}`;
  }

  hasConnection(address: string, nowMs: number): boolean {
    const free = this.free.get(address) ?? [];
    while (free.length > 0 && free[0]! < nowMs - IDLE_MS) free.shift();
    return free.length > 0;
  }
}

function simulate(scenario: Scenario): Figures {
  const { processes: processCount, slots } = scenario;
  const generator = xoroshiro128plus(11);
  const random = () => uniformFloat64(generator);
  const processes = Array.from(
    { length: processCount },
    (_, id) => new SimulatedProcess(id),
  );
  const heads = Array.from({ length: scenario.heads }, (_, id) => ({
    target: {
      instanceId: `i-${id}`,
      address: `a-${id}`,
      zone: `z${id % ZONES}`,
      slots,
      epoch: 1,
    },
    running: [] as Running[],
    waiting: [] as Waiting[],
    workMs: 0,
  }));
  const targets = heads.map(({ target }) => target);
  const byId = new Map(heads.map((head) => [head.target.instanceId, head]));
  const meanGapMs = 1_000 / scenario.requestsPerSecond;
  let nextAtMs = 0;
  let requests = 0;
  let connections = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 5) {
    for (const head of heads) {
      head.running = head.running.filter(({ endsAtMs, request }) => {
        if (endsAtMs > nowMs) return true;
        const { process } = request;
        process.loads.noteEnded(head.target.instanceId);
        const free = process.free.get(head.target.address) ?? [];
        process.free.set(head.target.address, [...free, nowMs]);
        return false;
      });
      while (head.running.length < slots && head.waiting.length > 0) {
        start(head, nowMs);
      }
      if (nowMs >= WARM_UP_MS) {
        head.workMs += (head.running.length + head.waiting.length) * 5;
      }
    }
    while (nextAtMs <= nowMs) {
      send(processes[Math.floor(random() * processCount)]!, nowMs);
      nextAtMs -= Math.log(1 - random()) * meanGapMs;
    }
  }
  const works = heads.map(({ workMs }) => workMs);
  const mean = works.reduce((sum, work) => sum + work, 0) / works.length;
  return {
    busiest: Math.max(...works) / mean,
    newConnections: connections / requests,
  };

  function send(process: SimulatedProcess, nowMs: number): void {
    const { loads, zone } = process;
    const target = chooseTarget({
      targets,
      loads,
      zone,
      maySend: () => true,
      isBackingOff: () => false,
      isSilent: () => false,
      isSlow: () => false,
      hasSuspect: () => false,
      hasConnection: (address) => process.hasConnection(address, nowMs),
      readDelayMs: () => 0,
      targetMs: 250,
      isTried: () => false,
      nowMs,
      random,
    })!;
    if (nowMs >= WARM_UP_MS) {
      requests += 1;
      if (!process.hasConnection(target.address, nowMs)) connections += 1;
    }
    process.free.get(target.address)?.pop();
    loads.noteSent(target.instanceId);
    byId.get(target.instanceId)!.waiting.push({ process });
  }

  function start(head: SimulatedHead, nowMs: number): void {
    const request = head.waiting.shift()!;
    const running = head.running.length + 1;
    const serviceMs = TOKENS * (STEP_MS + STEP_PER_REQUEST_MS * running);
    head.running.push({ endsAtMs: nowMs + serviceMs, request });
    request.process.loads.noteLoad(head.target.instanceId, {
      running,
      waiting: head.waiting.length,
      slots,
    }, nowMs);
  }
}

/**
 * Guards against a choice that overloads single heads or opens a connection for
 * each request. Choosing the better of two from a subset of heads was worse; the
 * figures are in docs/design/slow_callers.md.
 */
for (
  const scenario of [
    { processes: 62, heads: 20, slots: 24, requestsPerSecond: 200 },
    { processes: 62, heads: 20, slots: 24, requestsPerSecond: 380 },
    { processes: 123, heads: 16, slots: 34, requestsPerSecond: 194 },
    { processes: 123, heads: 16, slots: 34, requestsPerSecond: 304 },
  ]
) {
  const { processes, heads, requestsPerSecond } = scenario;
  it(`spreads ${requestsPerSecond} requests a second from ${processes} processes over ${heads} heads`, () => {
    const { busiest, newConnections } = simulate(scenario);
    expect(busiest < 1.5).toEqual(true);
    expect(newConnections < 0.2).toEqual(true);
  });
}

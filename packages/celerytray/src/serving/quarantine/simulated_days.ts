import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashQuarantine } from "./crash_quarantine.ts";
import { QuarantineBoard } from "./quarantine_board.ts";
import {
  mergeReports,
  type QuarantinedPart,
  type SuspectPart,
} from "./quarantine_report.ts";
import type { WatchedAttempt } from "./own_evidence.ts";

/** A day of processes before heads, some of which are lost. */
export interface SimulatedDay {
  readonly seed: number;
  readonly durationMs: number;
  /** Parts that crash each head that begins to write on them. */
  readonly poison: readonly PoisonPart[];
  /** Losses of heads for other reasons, a second. */
  readonly lossRate: number;
  /** Heads that such a loss takes at once. */
  readonly headsPerLoss: number;
  /** When all processes restart and read the parts in quarantine. */
  readonly restartAtMs?: number;
  /** When another process becomes the leader. */
  readonly newLeaderAtMs?: number;
  /** What is sent, and to what; by default streams to the heads of replicas. */
  readonly service?: SimulatedService;
}

/** A service and its sound requests. */
export interface SimulatedService {
  readonly isStream: boolean;
  readonly instances: number;
  /** Sound requests a second. */
  readonly soundRate: number;
  /** Share of the sound requests that are not repeated, each of its own. */
  readonly unsafeShare: number;
  /** Time from the start of a request to its first event, or to its crash. */
  readonly beginMs: number;
  /** Time from then on until it is known to be harmless. */
  readonly safeMs: number;
  /** Crashes, and the time after the last of them, from which the bound holds. */
  readonly boundCrashes: number;
  readonly boundMs: number;
}

/** Streams with prompts, to the heads of replicas of a model. */
const STREAMS: SimulatedService = {
  isStream: true,
  instances: 12,
  soundRate: 120,
  unsafeShare: 0,
  beginMs: 150,
  safeMs: 100,
  boundCrashes: 5,
  boundMs: 3_000,
};

/** Bookings, which are not repeated, and reads of a small service. */
export const BOOKINGS: SimulatedService = {
  isStream: false,
  instances: 3,
  soundRate: 40,
  unsafeShare: 0.7,
  beginMs: 50,
  safeMs: 0,
  boundCrashes: 3,
  boundMs: 3_000,
};

/**
 * A part of prompts that crashes heads, and the sound part that it always comes
 * with; or a whole request, alone.
 */
export interface PoisonPart {
  readonly part: string;
  readonly beside?: string;
  /** Requests a second. */
  readonly rate: number;
}

/** What a day came to. */
export interface DayResult {
  /** Requests with a poisonous part sent once its bound was in force, by part. */
  readonly lateSends: Readonly<Record<string, number>>;
  readonly crashes: Readonly<Record<string, number>>;
  readonly quarantined: readonly string[];
  /** Share of the sound requests that were refused for a part. */
  readonly refusedShare: number;
}

const STEP_MS = 25;
const PROCESSES = 9;
const USUAL_PARTS = 60;
/** Reads that come again and again, each the same. */
const USUAL_READS = 20;
const DOWN_MS = 3_300;
const MESSAGE_MS = 250;
const SETTLE_MS = 750;
const ATTEMPTS = 2;
interface SimulatedRequest {
  readonly process: number;
  readonly causes: readonly string[];
  readonly deadlyPart: string | undefined;
  /** Attempts that are allowed. */
  attemptsLeft: number;
  attempt?: WatchedAttempt;
  sentAtMs: number;
  hasBegun: boolean;
}

interface SimulatedHead {
  life: number;
  downUntilMs: number;
}

/** Plays a day in steps of time, with delayed reports and status. */
export function simulateDay(day: SimulatedDay): DayResult {
  const random = createSeededRandom(day.seed);
  const service = day.service ?? STREAMS;
  let processes = createProcesses([]);
  let board = createBoard(1);
  const heads: SimulatedHead[] = Array.from(
    { length: service.instances },
    () => ({ life: 0, downUntilMs: 0 }),
  );
  let running: SimulatedRequest[] = [];
  const crashes: Record<string, number> = {};
  const boundAtMs: Record<string, number> = {};
  const lateSends: Record<string, number> = {};
  let sound = 0;
  let refused = 0;
  let requestCount = 0;
  let published: readonly SuspectPart[] = [];

  const send = (request: SimulatedRequest, nowMs: number) => {
    const quarantine = processes[request.process]!;
    const verdict = quarantine.assess(request.causes, nowMs);
    const isRefused = verdict.kind === "quarantined" ||
      (verdict.kind === "held" &&
        !quarantine.tryTakeTrial(request.causes, nowMs));
    const up = heads.flatMap((head, index) =>
      head.downUntilMs > nowMs ? [] : [index]
    );
    if (isRefused) {
      if (request.deadlyPart === undefined) refused += 1;
      return;
    }
    if (up.length === 0) return;
    const part = request.deadlyPart;
    if (part !== undefined && nowMs > (boundAtMs[part] ?? Infinity)) {
      lateSends[part] = (lateSends[part] ?? 0) + 1;
    }
    const index = up[Math.floor(random() * up.length)]!;
    request.attemptsLeft -= 1;
    request.sentAtMs = nowMs;
    request.attempt = {
      isStream: service.isStream,
      causes: request.causes,
      instanceId: `h${index}`,
      incarnation: `h${index} ${heads[index]!.life}`,
    };
    running.push(request);
  };
  const arrive = (
    causes: readonly string[],
    part: string | undefined,
    nowMs: number,
    attemptsLeft = ATTEMPTS,
  ) => {
    if (part === undefined) sound += 1;
    send({
      process: Math.floor(random() * PROCESSES),
      causes,
      deadlyPart: part,
      attemptsLeft,
      sentAtMs: nowMs,
      hasBegun: false,
    }, nowMs);
  };
  const createOwn = () => {
    requestCount += 1;
    return `request:own${requestCount}`;
  };
  const arriveSound = (nowMs: number) => {
    if (service.isStream) arrive([pickUsual(), createOwn()], undefined, nowMs);
    else if (random() < service.unsafeShare) {
      arrive([createOwn()], undefined, nowMs, 1);
    } else {
      const read = Math.floor(random() * USUAL_READS);
      arrive([`request:read${read}`], undefined, nowMs);
    }
  };
  const lose = (index: number, nowMs: number) => {
    const lost = running.filter(({ attempt }) =>
      attempt?.instanceId === `h${index}`
    );
    running = running.filter((request) => !lost.includes(request));
    heads[index]!.life += 1;
    heads[index]!.downUntilMs = nowMs + DOWN_MS;
    for (const request of lost) {
      processes[request.process]!.noteLost(request.attempt!, nowMs);
    }
    for (const request of lost) {
      if (request.attemptsLeft > 0) send(request, nowMs);
    }
  };
  const pickUsual = () => `usual${Math.floor(random() ** 2 * USUAL_PARTS)}`;

  for (let nowMs = 0; nowMs < day.durationMs; nowMs += STEP_MS) {
    const isDue = (rate: number) => random() < rate * STEP_MS / 1_000;
    const soundUntilNow = Math.ceil(
      (nowMs + STEP_MS) * service.soundRate / 1_000,
    );
    while (sound < soundUntilNow) arriveSound(nowMs);
    for (const { part, beside, rate } of day.poison) {
      if (!isDue(rate)) continue;
      arrive(
        beside === undefined ? [part] : [beside, part, createOwn()],
        part,
        nowMs,
      );
    }
    if (isDue(day.lossRate)) {
      for (let count = 0; count < day.headsPerLoss; count++) {
        lose(Math.floor(random() * service.instances), nowMs);
      }
    }
    for (const request of [...running]) {
      const { sentAtMs, deadlyPart, attempt } = request;
      if (!running.includes(request)) continue;
      if (nowMs - sentAtMs < service.beginMs) continue;
      if (deadlyPart !== undefined) {
        crashes[deadlyPart] = (crashes[deadlyPart] ?? 0) + 1;
        if (crashes[deadlyPart] === service.boundCrashes) {
          boundAtMs[deadlyPart] = nowMs + service.boundMs;
        }
        lose(Number(attempt!.instanceId.slice(1)), nowMs);
      } else if (nowMs - sentAtMs >= service.beginMs + service.safeMs) {
        const beganAtMs = sentAtMs + service.beginMs;
        processes[request.process]!.noteSafe(attempt!, beganAtMs);
        running.splice(running.indexOf(request), 1);
      }
    }
    if (nowMs === day.newLeaderAtMs) board = createBoard(2);
    if (nowMs === day.restartAtMs) {
      processes = createProcesses(board.quarantined);
      board = createBoard(3);
      published = [];
      running = [];
    }
    if (nowMs % MESSAGE_MS !== 0) continue;
    for (const process of processes) process.adopt(published);
    const report = mergeReports(
      processes.map((process) => process.report(nowMs)),
    );
    const own = processes[0]!.quarantined;
    published = board.update(
      { ...report, quarantined: [...own, ...report.quarantined] },
      { nowMs, settleMs: SETTLE_MS + MESSAGE_MS },
    );
  }
  return {
    lateSends,
    crashes,
    quarantined: board.quarantined.map(({ part }) => part),
    refusedShare: refused / sound,
  };
}

function createProcesses(
  recorded: readonly QuarantinedPart[],
): readonly CrashQuarantine[] {
  return Array.from({ length: PROCESSES }, (_, index) => {
    const process = new CrashQuarantine({
      nodeId: `node-${index}`,
      onEvent: () => {},
    });
    process.load(recorded);
    return process;
  });
}

function createBoard(term: number): QuarantineBoard {
  return new QuarantineBoard({
    term,
    releaseOffset: () => -1,
    onQuarantined: () => {},
  });
}

/** Returns numbers from 0 to 1, the same ones for each seed. */
function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
}

const RANDOM_RANGE = 2 ** 30;

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { PromptQuarantine } from "./prompt_quarantine.ts";
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
}

/** A part that crashes heads, and the sound part that it always comes with. */
export interface PoisonPart {
  readonly part: string;
  readonly beside: string;
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
const HEADS = 12;
const SOUND_RATE = 100;
const USUAL_PARTS = 60;
const BEGIN_MS = 150;
const SAFE_MS = 100;
const DOWN_MS = 3_300;
const MESSAGE_MS = 250;
const SETTLE_MS = 750;
const ATTEMPTS = 2;
/** Crashes, and the time after the last of them, from which the bound holds. */
const BOUND_CRASHES = 5;
const BOUND_MS = 3_000;

interface SimulatedRequest {
  readonly process: number;
  readonly parts: readonly string[];
  readonly deadlyPart: string | undefined;
  attempts: number;
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
  let processes = createProcesses([]);
  let board = createBoard(1);
  const heads: SimulatedHead[] = Array.from(
    { length: HEADS },
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
    const verdict = quarantine.assess(request.parts, nowMs);
    const isRefused = verdict.kind === "quarantined" ||
      (verdict.kind === "held" &&
        !quarantine.tryTakeTrial(request.parts, nowMs));
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
    request.attempts += 1;
    request.sentAtMs = nowMs;
    request.attempt = {
      parts: request.parts,
      instanceId: `h${index}`,
      incarnation: `h${index} ${heads[index]!.life}`,
    };
    running.push(request);
  };
  const arrive = (
    parts: readonly string[],
    part: string | undefined,
    nowMs: number,
  ) => {
    requestCount += 1;
    if (part === undefined) sound += 1;
    send({
      process: Math.floor(random() * PROCESSES),
      parts: [...parts, `own${requestCount}`],
      deadlyPart: part,
      attempts: 0,
      sentAtMs: nowMs,
      hasBegun: false,
    }, nowMs);
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
      if (request.attempts < ATTEMPTS) send(request, nowMs);
    }
  };
  const pickUsual = () => `usual${Math.floor(random() ** 2 * USUAL_PARTS)}`;

  for (let nowMs = 0; nowMs < day.durationMs; nowMs += STEP_MS) {
    const isDue = (rate: number) => random() < rate * STEP_MS / 1_000;
    for (let slot = 0; slot < SOUND_RATE * STEP_MS / 1_000; slot++) {
      arrive([pickUsual()], undefined, nowMs);
    }
    for (const { part, beside, rate } of day.poison) {
      if (isDue(rate)) arrive([beside, part], part, nowMs);
    }
    if (isDue(day.lossRate)) {
      for (let count = 0; count < day.headsPerLoss; count++) {
        lose(Math.floor(random() * HEADS), nowMs);
      }
    }
    for (const request of [...running]) {
      const { sentAtMs, deadlyPart, attempt } = request;
      if (!running.includes(request)) continue;
      if (nowMs - sentAtMs < BEGIN_MS) continue;
      if (deadlyPart !== undefined) {
        crashes[deadlyPart] = (crashes[deadlyPart] ?? 0) + 1;
        if (crashes[deadlyPart] === BOUND_CRASHES) {
          boundAtMs[deadlyPart] = nowMs + BOUND_MS;
        }
        lose(Number(attempt!.instanceId.slice(1)), nowMs);
      } else if (nowMs - sentAtMs >= BEGIN_MS + SAFE_MS) {
        processes[request.process]!.noteSafe(attempt!, sentAtMs + BEGIN_MS);
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
): readonly PromptQuarantine[] {
  return Array.from({ length: PROCESSES }, (_, index) => {
    const process = new PromptQuarantine({
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

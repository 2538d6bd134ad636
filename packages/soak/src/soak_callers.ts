import {
  callPlatform,
  createWholeStream,
  FAKE_MODEL,
  fakePaths,
} from "@celerytray/fakes";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallKind, CallNote, SoakHistory } from "./history.ts";
import type { SoakProcess } from "./soak_process.ts";
import { soakKeys, type SoakWorld } from "./soak_world.ts";

/** Between two calls of a caller; bounds the load of the whole soak. */
const PAUSE_MS = 150;
const BURST_PAUSE_MS = 10;
const DEADLINE_MS = 3_000;

/** Callers that each call a process again and again on one open connection. */
export class SoakCallers {
  readonly #history: SoakHistory;
  readonly #kinds: readonly CallKind[];
  readonly #loops: Promise<void>[] = [];
  #isStopped = false;
  #callCount = 0;

  constructor(history: SoakHistory, kinds: readonly CallKind[]) {
    this.#history = history;
    this.#kinds = kinds;
  }

  /** Starts a caller of each kind, and one for each key that is withdrawn. */
  start(world: SoakWorld): void {
    const stops = () => this.#isStopped;
    for (const process of world.processes.values()) {
      for (const kind of this.#kinds) {
        const key = soakKeys.steady;
        this.#loops.push(this.#loop({ process, kind, key }, PAUSE_MS, stops));
      }
      for (const [index, key] of soakKeys.withdrawn.entries()) {
        const kind = this.#kinds[index % this.#kinds.length]!;
        this.#loops.push(this.#loop({ process, kind, key }, PAUSE_MS, stops));
      }
    }
  }

  /** One organisation calls much more often for a time. */
  async burst(world: SoakWorld, forMs: number): Promise<void> {
    const endMs = performance.now() + forMs;
    const stops = () => performance.now() > endMs;
    const callers = [...world.processes.values()].flatMap((process) =>
      this.#kinds.map((kind) => ({ process, kind, key: soakKeys.burst }))
    );
    await Promise.all(
      callers.map((caller) => this.#loop(caller, BURST_PAUSE_MS, stops)),
    );
  }

  /** Ends the callers; each gets its last answer. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  async #loop(caller: Caller, pauseMs: number, stops: () => boolean) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!stops()) {
      await this.#call(caller, agent);
      await sleep(pauseMs);
    }
    agent.destroy();
  }

  async #call({ process, kind, key }: Caller, agent: Agent): Promise<void> {
    const callId = `call-${this.#callCount++}`;
    const prompt = `prompt of ${callId}`;
    const call: CallNote = {
      process: process.name,
      kind,
      callId,
      key,
      sentAtMs: performance.now(),
      expected: kind === "stream" ? createWholeStream(prompt) : prompt,
    };
    this.#history.calls.push(call);
    const answer = await callPlatform({
      address: process.callerAddress,
      path: fakePaths[kind],
      callId,
      key,
      prompt,
      deadlineMs: DEADLINE_MS,
      agent,
      ...(kind === "stream" ? { model: FAKE_MODEL } : {}),
    });
    call.endedAtMs = performance.now();
    // Without a port no connection came about, and nothing was sent.
    call.wasRefused = answer.status === 0 &&
      (answer.localPort === undefined ||
        process.callers.wasRefused(answer.localPort));
    call.answer = answer;
  }
}

interface Caller {
  readonly process: SoakProcess;
  readonly kind: CallKind;
  readonly key: string;
}

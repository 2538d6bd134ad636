import {
  callPlatform,
  createCompleteStream,
  FAKE_MODEL,
  fakePaths,
} from "@celerytray/fakes";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { bounds } from "./bounds.ts";
import type { CallKind, CallRecord, SoakHistory } from "./history.ts";
import type { SoakProcess } from "./soak_process.ts";
import { type SoakCluster, soakKeys } from "./soak_cluster.ts";

/** Pause between two calls of a caller; limits the load of the whole soak. */
const CALL_PAUSE_MS = 150;
const BURST_CALL_PAUSE_MS = 10;
const STEADY_INTERVAL_MS = 400;
const POISON_CALL_PAUSE_MS = 300;
const RESTART_INTERVAL_MS = 1_000;

/** Callers that each send requests to a process on one open connection. */
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

  /** Starts a caller of each kind, and one for each key to be withdrawn. */
  start(cluster: SoakCluster): void {
    const shouldStop = () => this.#isStopped;
    for (const process of cluster.processes.values()) {
      for (const kind of this.#kinds) {
        const key = soakKeys.steady;
        this.#loops.push(
          this.#loop({ process, kind, key }, CALL_PAUSE_MS, shouldStop),
        );
      }
      this.#loops.push(this.#callRoutes(cluster, process));
      for (const [index, key] of soakKeys.withdrawn.entries()) {
        const kind = this.#kinds[index % this.#kinds.length]!;
        this.#loops.push(
          this.#loop({ process, kind, key }, CALL_PAUSE_MS, shouldStop),
        );
      }
    }
  }

  /** Raises the request rate of one organisation for a time. */
  async burst(cluster: SoakCluster, durationMs: number): Promise<void> {
    const endMs = performance.now() + durationMs;
    const shouldStop = () => performance.now() > endMs;
    const callers = [...cluster.processes.values()].flatMap((process) =>
      this.#kinds.map((kind) => ({ process, kind, key: soakKeys.burst }))
    );
    await Promise.all(
      callers.map((caller) =>
        this.#loop(caller, BURST_CALL_PAUSE_MS, shouldStop)
      ),
    );
  }

  /**
   * Sends requests to all processes for a time without waiting for answers, so
   * that as many reach processes that don't answer.
   */
  async sendSteadily(cluster: SoakCluster, durationMs: number): Promise<void> {
    const agent = new Agent({ keepAlive: true });
    const endMs = performance.now() + durationMs;
    const calls: Promise<void>[] = [];
    while (performance.now() < endMs) {
      for (const process of cluster.processes.values()) {
        for (const kind of this.#kinds) {
          const caller = { process, kind, key: soakKeys.steady };
          calls.push(this.#call(caller, agent));
        }
      }
      await sleep(STEADY_INTERVAL_MS);
    }
    await Promise.all(calls);
    agent.destroy();
  }

  /**
   * Sends prompts with a part that crashes model instances to all processes for
   * a time, and restarts the instances that crash.
   */
  async poison(
    cluster: SoakCluster,
    { part, durationMs }: {
      readonly part: string;
      readonly durationMs: number;
    },
  ): Promise<void> {
    const { deadlyParts } = cluster.platform;
    deadlyParts.add(part);
    await this.#crashInstances(cluster, {
      kind: "stream",
      cause: part,
      durationMs,
    });
    deadlyParts.delete(part);
  }

  /**
   * Sends a request that crashes plain instances to all processes again and again
   * for a time, and restarts the instances that crash.
   */
  async repeatDeadly(
    cluster: SoakCluster,
    { body, durationMs }: {
      readonly body: string;
      readonly durationMs: number;
    },
  ): Promise<void> {
    const { deadlyBodies } = cluster.platform;
    deadlyBodies.add(body);
    await this.#crashInstances(cluster, {
      kind: "safe",
      cause: body,
      durationMs,
    });
    deadlyBodies.delete(body);
  }

  async #crashInstances(
    cluster: SoakCluster,
    { kind, cause, durationMs }: {
      readonly kind: CallKind;
      readonly cause: string;
      readonly durationMs: number;
    },
  ): Promise<void> {
    const { platform, history } = cluster;
    const end = history.beginFault({ kind: "instance" }, "poison");
    const endMs = performance.now() + durationMs;
    const callers = [...cluster.processes.values()].map((process) =>
      this.#loop(
        { process, kind, key: soakKeys.steady, deadlyPart: cause },
        POISON_CALL_PAUSE_MS,
        () => performance.now() > endMs,
      )
    );
    while (performance.now() < endMs) {
      await sleep(RESTART_INTERVAL_MS);
      for (const id of platform.crashedIds) {
        if (!platform.find(id).isAlive) await platform.restart(id);
      }
    }
    await Promise.all(callers);
    end();
  }

  /** Stops the callers after each has received its last answer. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  /** Calls the route that was added last and the one that was dropped last. */
  async #callRoutes(cluster: SoakCluster, process: SoakProcess) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const caller = { process, kind: "safe", key: soakKeys.steady } as const;
    while (!this.#isStopped) {
      for (const routePath of Object.values(cluster.routePaths)) {
        await this.#call({ ...caller, routePath }, agent);
      }
      await sleep(CALL_PAUSE_MS);
    }
    agent.destroy();
  }

  async #loop(caller: Caller, pauseMs: number, shouldStop: () => boolean) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!shouldStop()) {
      await this.#call(caller, agent);
      await sleep(pauseMs);
    }
    agent.destroy();
  }

  async #call(
    { process, kind, key, deadlyPart, routePath }: Caller,
    agent: Agent,
  ): Promise<void> {
    const callId = `call-${this.#callCount++}`;
    const prompt = kind === "stream"
      ? `prompt of ${callId}`
      : deadlyPart ?? `request ${callId}`;
    const call: CallRecord = {
      process: process.name,
      kind,
      callId,
      key,
      ...(deadlyPart === undefined ? {} : { deadlyPart }),
      ...(routePath === undefined ? {} : { routePath }),
      sentAtMs: performance.now(),
      expected: kind === "stream" ? createCompleteStream(prompt) : prompt,
    };
    this.#history.calls.push(call);
    const answer = await callPlatform({
      address: process.callerAddress,
      path: routePath ?? fakePaths[kind],
      callId,
      key,
      prompt,
      deadlineMs: bounds.callDeadlineMs,
      agent,
      ...(kind === "stream"
        ? {
          model: FAKE_MODEL,
          promptParts: `first:1,${deadlyPart ?? "usual"}:1,${callId}:1`,
        }
        : {}),
    });
    call.endedAtMs = performance.now();
    // Without a local port there was no connection, and nothing was sent.
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
  readonly deadlyPart?: string;
  /** Path of another route than that of its kind. */
  readonly routePath?: string;
}

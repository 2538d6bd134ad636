import {
  type Coordinator,
  type CrashQuarantine,
  type InstanceLimits,
  type LeavingIncarnation,
  type PeerCalls,
  type PeerNode,
  PeerUnresponsive,
  type SharedRetryBudget,
} from "celerytray";
import { Effect } from "effect";
import type { PausableClock } from "./pausable_clock.ts";

const CALL_LATENCY_MS = 1;
const CALL_TIMEOUT_MS = 400;

/** A process of a simulated cluster, with the state of its machine. */
export interface CoordinatedProcess {
  readonly node: PeerNode;
  readonly coordinator: Coordinator;
  readonly retryBudget: SharedRetryBudget;
  readonly quarantine: CrashQuarantine;
  readonly limits: InstanceLimits;
  /** Instances that it knows to be leaving, by id. */
  readonly leaving: Map<string, LeavingIncarnation>;
  /** Heads that stand still, as far as it sees. */
  readonly stalledHeads: Set<string>;
  /** Services whose instances it does not reach. */
  readonly lostServices: Set<string>;
  /** Reports that it received. */
  reportCount: number;
  /** Time of the latest proof of a topic's end that was relayed to it. */
  relayedProofAtMs: number;
  state: ProcessState;
  /** Reports an order refused as outdated to its controller, if it leads. */
  reportOutdatedOrder: () => void;
  /** Whether its long polls, reads that wait for a record, get no answer. */
  losesLongPolls: boolean;
  readonly clock: PausableClock;
  /** Called when the process ends. */
  readonly endListeners: Set<() => void>;
}

/**
 * Killed: its address refuses connections. Powered off: calls to it time out.
 * Unreachable: calls to it time out, but it keeps running. Paused: it does not
 * run, as after SIGSTOP.
 */
export type ProcessState =
  | "running"
  | "killed"
  | "powered-off"
  | "unreachable"
  | "paused";

export function endProcess(
  process: CoordinatedProcess,
  state: "killed" | "powered-off",
): void {
  process.state = state;
  for (const notify of [...process.endListeners]) notify();
}

/** Suspends a process, as SIGSTOP does. */
export function pauseProcess(process: CoordinatedProcess): void {
  process.state = "paused";
  process.clock.pause();
}

/** Resumes a paused process. */
export function resumeProcess(process: CoordinatedProcess): void {
  process.state = "running";
  process.clock.resume();
}

/** Calls between the processes of a cluster. */
export function createPeerCalls(
  processes: readonly CoordinatedProcess[],
): PeerCalls {
  const connect = (address: string) =>
    Effect.suspend(() => {
      const peer = processes[Number(address)]!;
      const fail = Effect.fail(
        new PeerUnresponsive({
          isRefused: peer.state === "killed",
          message: "The peer did not answer",
        }),
      );
      switch (peer.state) {
        case "running":
          return Effect.as(Effect.sleep(CALL_LATENCY_MS), peer);
        case "killed":
          return Effect.andThen(Effect.sleep(CALL_LATENCY_MS), fail);
        case "powered-off":
        case "unreachable":
        case "paused":
          return Effect.andThen(Effect.sleep(CALL_TIMEOUT_MS), fail);
      }
    });
  // Calls in progress at a process that ends get no answer.
  const failOnEnd = (peer: CoordinatedProcess) =>
    Effect.gen(function* () {
      yield* awaitEnd(peer);
      if (peer.state === "powered-off") yield* Effect.sleep(CALL_TIMEOUT_MS);
      return yield* Effect.fail(
        new PeerUnresponsive({
          isRefused: false,
          message: "The peer ended before it answered",
        }),
      );
    });
  return {
    report: (address, report) =>
      Effect.flatMap(connect(address), (peer) => {
        peer.reportCount += 1;
        return peer.coordinator.report(report).pipe(
          Effect.raceFirst(failOnEnd(peer)),
          // Calls in progress at a process that is paused time out as well.
          Effect.tap(() =>
            peer.state === "running" ? Effect.void : connect(address)
          ),
        );
      }),
    reach: (address, instances) =>
      Effect.flatMap(
        connect(address),
        ({ coordinator }) => coordinator.findReaches(instances),
      ),
    heardLead: (address, term) =>
      Effect.map(
        connect(address),
        ({ coordinator }) => coordinator.heardLeadAgoMs(term) ?? null,
      ),
  };
}

/** Completes when the process ends. */
export function awaitEnd(process: CoordinatedProcess): Effect.Effect<void> {
  return Effect.callback<void>((resume) => {
    const notify = () => resume(Effect.void);
    process.endListeners.add(notify);
    return Effect.sync(() => process.endListeners.delete(notify));
  });
}

import {
  type Coordinator,
  type LeavingIncarnation,
  type PeerCalls,
  type PeerNode,
  PeerUnresponsive,
} from "celerytray";
import { Effect } from "effect";
import type { StoppableClock } from "./stoppable_clock.ts";

const CALL_MS = 1;
const SILENCE_MS = 400;

/** A process that takes part, and what happens to its machine. */
export interface CoordinatedProcess {
  readonly node: PeerNode;
  readonly coordinator: Coordinator;
  /** Instances that it heard say that they leave. */
  readonly leaving: Map<string, LeavingIncarnation>;
  /** Reports that it was sent. */
  reports: number;
  /** Times at which it last proved a topic's end by the status of others. */
  toldAtMs: number;
  state: ProcessState;
  /** Tells its director, if it leads, that an order was refused as outdated. */
  noteOutdated: () => void;
  /** Whether its reads that wait for a record get no answer. */
  losesWaits: boolean;
  readonly clock: StoppableClock;
  readonly onEnd: Set<() => void>;
}

/**
 * Killed: its address refuses. Without power: it is silent. Unheard: no call
 * of another process gets an answer of it, but it goes on. Stopped: it stands
 * still, as by SIGSTOP.
 */
export type ProcessState =
  | "running"
  | "killed"
  | "without-power"
  | "unheard"
  | "stopped";

/** Ends a process. */
export function endProcess(
  process: CoordinatedProcess,
  state: "killed" | "without-power",
): void {
  process.state = state;
  for (const notify of [...process.onEnd]) notify();
}

/** Lets a process stand still until it is resumed. */
export function stopProcess(process: CoordinatedProcess): void {
  process.state = "stopped";
  process.clock.stop();
}

/** Lets a process that stood still go on. */
export function resumeProcess(process: CoordinatedProcess): void {
  process.state = "running";
  process.clock.resume();
}

/** Calls between the processes of a world. */
export function createPeers(
  processes: readonly CoordinatedProcess[],
): PeerCalls {
  const reach = (address: string) =>
    Effect.suspend(() => {
      const peer = processes[Number(address)]!;
      const fail = Effect.fail(
        new PeerUnresponsive({
          isRefused: peer.state === "killed",
          message: "The peer is silent",
        }),
      );
      switch (peer.state) {
        case "running":
          return Effect.as(Effect.sleep(CALL_MS), peer);
        case "killed":
          return Effect.andThen(Effect.sleep(CALL_MS), fail);
        case "without-power":
        case "unheard":
        case "stopped":
          return Effect.andThen(Effect.sleep(SILENCE_MS), fail);
      }
    });
  // An answer that waits at a machine that ends never comes.
  const cut = (peer: CoordinatedProcess) =>
    Effect.gen(function* () {
      yield* awaitEnd(peer);
      if (peer.state === "without-power") yield* Effect.sleep(SILENCE_MS);
      return yield* Effect.fail(
        new PeerUnresponsive({
          isRefused: false,
          message: "The peer has ended",
        }),
      );
    });
  return {
    report: (address, report) =>
      Effect.flatMap(reach(address), (peer) => {
        peer.reports += 1;
        return peer.coordinator.report(report).pipe(
          Effect.raceFirst(cut(peer)),
          // Calls that wait at a process when it stops are silent as well.
          Effect.tap(() =>
            peer.state === "running" ? Effect.void : reach(address)
          ),
        );
      }),
    heardLead: (address, term) =>
      Effect.map(
        reach(address),
        ({ coordinator }) => coordinator.heardLeadAgoMs(term) ?? null,
      ),
  };
}

/** Ends as a process does. */
export function awaitEnd(process: CoordinatedProcess): Effect.Effect<void> {
  return Effect.callback<void>((resume) => {
    const notify = () => resume(Effect.void);
    process.onEnd.add(notify);
    return Effect.sync(() => process.onEnd.delete(notify));
  });
}

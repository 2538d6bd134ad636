import {
  callPlatform,
  createCompleteStream,
  fakePaths,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryProcess } from "./entry_process.ts";
import { EVENTS, zones } from "./overload_models.ts";

export const KEY = "key-1";
export const DEADLINE_MS = 6_000;
const TOKEN_COUNT = "400,62";
const REFUSED_PAUSE_MS = 250;
/** Of each ten callers, these ask for the large model. */
const LARGE_IN_TEN = 3;

/** A stream as its caller saw it. */
export interface CalledStream {
  readonly callId: string;
  readonly model: string;
  readonly entry: EntryProcess;
  /** Unix time. */
  readonly sentAtMs: number;
  readonly durationMs: number;
  /** Time from its last bytes to its end; undefined if none came. */
  readonly sinceLastMs?: number;
  readonly answer: PlatformAnswer;
  readonly isWhole: boolean;
}

/** A caller that streams again and again on a connection that it keeps. */
export class StreamCaller {
  readonly #index: number;
  readonly #entries: readonly EntryProcess[];
  readonly #agents = new Map<EntryProcess, Agent>();
  #current: EntryProcess | undefined;
  #streams = 0;

  constructor(index: number, entries: readonly EntryProcess[]) {
    this.#index = index;
    this.#entries = entries;
  }

  async callUntil(
    isOver: () => boolean,
    record: (stream: CalledStream) => void,
  ): Promise<void> {
    // Not all at once.
    await sleep(this.#index * 20);
    while (!isOver()) {
      const stream = await this.call(this.#chooseEntry());
      record(stream);
      if (!stream.isWhole) await sleep(REFUSED_PAUSE_MS);
    }
    for (const agent of this.#agents.values()) agent.destroy();
  }

  async call(entry: EntryProcess): Promise<CalledStream> {
    const model = this.#index % 10 < LARGE_IN_TEN ? "large" : "small";
    const callId = `call-${this.#index}-${this.#streams++}`;
    const sentAtMs = Date.now();
    let lastAtMs: number | undefined;
    const answer = await callPlatform({
      address: entry.address,
      path: fakePaths.stream,
      callId,
      key: KEY,
      prompt: callId,
      deadlineMs: DEADLINE_MS,
      agent: this.#agentOf(entry),
      model,
      tokenCount: TOKEN_COUNT,
      promptParts: `5a:300,${this.#index.toString(16)}:${100}`,
      onResponse: (response) => {
        response.on("data", () => lastAtMs = Date.now());
      },
    });
    const endedAtMs = Date.now();
    return {
      callId,
      model,
      entry,
      sentAtMs,
      durationMs: endedAtMs - sentAtMs,
      ...(lastAtMs === undefined ? {} : { sinceLastMs: endedAtMs - lastAtMs }),
      answer,
      isWhole: answer.status === 200 && answer.isWhole &&
        answer.body === createCompleteStream(callId, EVENTS),
    };
  }

  /** An open connection stays; a new one goes to an entry of the zone that is ready. */
  #chooseEntry(): EntryProcess {
    const kept = this.#current;
    if (kept !== undefined && this.#hasConnection(kept)) return kept;
    const zone = zones[this.#index % zones.length]!;
    const ready = this.#entries.filter(({ isInRotation }) => isInRotation);
    const usable = ready.length > 0 ? ready : this.#entries;
    const near = usable.filter((entry) => entry.zone === zone);
    const choices = near.length > 0 ? near : usable;
    this.#current = choices[this.#index % choices.length]!;
    return this.#current;
  }

  #hasConnection(entry: EntryProcess): boolean {
    return Object.keys(this.#agentOf(entry).freeSockets).length > 0;
  }

  #agentOf(entry: EntryProcess): Agent {
    const known = this.#agents.get(entry);
    if (known !== undefined) return known;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#agents.set(entry, agent);
    return agent;
  }
}

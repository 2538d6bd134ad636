import type {
  AdminClient,
  HybridTimestamp,
  MergedTimeline,
  TimelineEvent,
} from "celerytray";
import { Command, Option } from "clipanion";
import { setTimeout as sleep } from "node:timers/promises";
import {
  CommandError,
  type CommandOutput,
  OperatorCommand,
} from "./operator_command.ts";

const FOLLOW_INTERVAL_MS = 1_000;
/** Time within which an event of another process may still arrive. */
const LATE_EVENT_WINDOW_MS = 5_000;

export class TimelineCommand extends OperatorCommand {
  static override paths = [["timeline"]];
  static override usage = Command.Usage({
    description:
      "Print the latest events of all entry instances in causal order",
  });
  request = Option.String("--request", { description: "Only this request" });
  replica = Option.String("--replica", { description: "Only this replica" });
  instance = Option.String("--instance", {
    description: "Only this instance or entry instance",
  });
  follow = Option.Boolean("--follow", false, {
    description: "Print further events until interrupted",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const read = (after?: HybridTimestamp) =>
      client.mergedTimeline.query({
        requestId: this.request,
        replicaId: this.replica,
        instanceId: this.instance,
        after,
      });
    const merged = await read();
    if (!this.follow) return { value: merged, text: formatTimeline(merged) };
    this.#print(merged.events);
    const seen = new Set(merged.events.map(eventKey));
    while (true) {
      await sleep(FOLLOW_INTERVAL_MS);
      const physicalMs = Math.max(0, Date.now() - LATE_EVENT_WINDOW_MS);
      const { events } = await read({ physicalMs, counter: 0 });
      const newEvents = events.filter((event) => !seen.has(eventKey(event)));
      this.#print(newEvents);
      seen.clear();
      for (const event of events) seen.add(eventKey(event));
    }
  }

  #print(events: readonly TimelineEvent[]): void {
    for (const event of events) {
      const line = this.json ? JSON.stringify(event) : formatEvent(event);
      this.context.stdout.write(`${line}\n`);
    }
  }
}

/** Summarises one request and prints its events. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Explain where a request was sent, or why it was refused",
    details:
      "The request's identifier is the x-request-id header of its answer.",
  });
  requestId = Option.String();

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const { requestId } = this;
    const merged = await client.mergedTimeline.query({ requestId });
    if (merged.events.length === 0) {
      throw new CommandError(
        `No entry instance keeps events of request ${requestId}; check its x-request-id, or ask sooner, as old events are dropped`,
      );
    }
    const summary = summariseRequest(merged.events);
    const text = `${summary}\n\n${formatTimeline(merged)}`;
    return { value: { summary, ...merged }, text };
  }
}

/** Describes where a request was sent and how it ended, in one sentence. */
export function summariseRequest(events: readonly TimelineEvent[]): string {
  const attempts = events.filter(({ kind }) => kind === "attempt.started");
  const replicaIds = attempts.map(({ replicaId }) => replicaId ?? "unknown");
  const route = replicaIds.length === 0
    ? "It was sent to no replica"
    : `It was sent to ${replicaIds.join(", then ")}`;
  const last = events.at(-1)!;
  switch (last.kind) {
    case "request.finished":
      return `${route} and was answered`;
    case "request.failed":
      return `${route} and failed: ${last.detail ?? "no detail"}`;
    default:
      return `${route}; its latest event is ${last.kind}`;
  }
}

function formatTimeline({ events, missing }: MergedTimeline): string {
  const lines = events.map(formatEvent);
  if (missing.length > 0) {
    lines.push(
      `No answer from ${missing.join(", ")}; their events are missing here`,
    );
  }
  return lines.join("\n");
}

function formatEvent(event: TimelineEvent): string {
  return [
    new Date(event.at.physicalMs).toISOString(),
    event.process,
    event.kind,
    event.requestId ?? "",
    event.replicaId ?? event.instanceId ?? "",
    event.detail ?? "",
  ].filter((part) => part !== "").join(" ");
}

function eventKey({ at, process, kind }: TimelineEvent): string {
  return `${process} ${at.physicalMs} ${at.counter} ${kind}`;
}

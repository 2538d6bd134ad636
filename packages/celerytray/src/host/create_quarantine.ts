import type { MetricsPage, RecordEvent } from "../journal/index.ts";
import { CrashQuarantine, type QuarantineEvent } from "../serving/index.ts";
import type { HostSettings } from "./host_settings.ts";

/** Dependencies of the quarantine of a process. */
export interface QuarantineSources {
  readonly settings: Pick<HostSettings, "nodeId">;
  readonly metrics: MetricsPage;
  readonly record: RecordEvent;
}

/** Creates the quarantine of a process, with its log events and gauge. */
export function createQuarantine(
  { settings, metrics, record }: QuarantineSources,
): CrashQuarantine {
  const quarantine = new CrashQuarantine({
    nodeId: settings.nodeId,
    onEvent: (event) => recordQuarantineEvent(event, record),
  });
  metrics.addGauge(
    "celerytray_quarantined_parts",
    "Parts of prompts in quarantine, as they crash the instances that write on them",
    () => quarantine.quarantined.length,
  );
  return quarantine;
}

function recordQuarantineEvent(
  event: QuarantineEvent,
  record: RecordEvent,
): void {
  if (event.kind === "suspected") {
    const { instanceId, parts, connection, elapsedMs, crashes } = event;
    const fields = { instanceId, parts, connection, elapsedMs, crashes };
    record("quarantine.suspected", fields);
    return;
  }
  const { kind, part, crashes } = event;
  switch (kind) {
    case "tried":
      record("quarantine.tried", { part, crashes });
      break;
    case "begun":
      record("quarantine.begun", { part, crashes });
      break;
    case "ended":
      record("quarantine.ended", { part, crashes });
  }
}

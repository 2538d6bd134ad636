import type { AdminClient } from "celerytray";
import { Command } from "clipanion";
import {
  type CommandOutput,
  formatTable,
  OperatorCommand,
} from "./operator_command.ts";

export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show an entry instance's state and its services",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const status = await client.status.query();
    const since = new Date(status.configAcceptedAtMs).toISOString();
    const lines = [
      `instance       ${status.instanceId} in ${status.availabilityZone}`,
      `ready          ${status.notReadyReason ?? "yes"}`,
      `configuration  version ${status.configVersion} since ${since}`,
      `in flight      ${status.callsInFlight} calls`,
      `live           ${status.liveEntries.join(", ")}`,
      `drained        ${status.drains.join(", ") || "nothing"}`,
    ];
    const table = formatTable(
      ["SERVICE", "KIND", "READY", "WANTED"],
      status.services.map((service) => [
        service.service,
        service.kind,
        service.readyReplicas,
        service.wantedReplicas,
      ]),
    );
    return { value: status, text: `${lines.join("\n")}\n\n${table}` };
  }
}

export class ReplicasCommand extends OperatorCommand {
  static override paths = [["replicas"]];
  static override usage = Command.Usage({
    description: "List replicas, their members and whether they serve",
  });

  protected async run(client: AdminClient): Promise<CommandOutput> {
    const replicas = await client.replicas.query();
    const text = formatTable(
      ["REPLICA", "STATE", "FENCING", "MEMBERS", "FAULTY"],
      replicas.map((replica) => [
        replica.replicaId,
        replica.state,
        replica.fencingNumber,
        replica.members.join(","),
        replica.faultyMembers.join(","),
      ]),
    );
    return { value: replicas, text };
  }
}

#!/usr/bin/env node
/** Runs one fake as a separate process. */
import { Cli, Command, Option } from "clipanion";
import { serveFakeEngine } from "./engine/index.ts";
import { serveFakeInstanceList } from "./instance_list/index.ts";
import { serveFakeLog } from "./log_service/index.ts";
import { serveFakePlainService } from "./plain_service/index.ts";

abstract class FakeCommand extends Command {
  address = Option.String("--address", {
    required: true,
    description: "IP:PORT to listen on",
  });
}

class LogCommand extends FakeCommand {
  static override paths = [["log"]];
  static override usage = Command.Usage({
    description: "Fake of the log service",
  });

  async execute(): Promise<void> {
    await serveFakeLog({ address: this.address });
  }
}

class InstancesCommand extends FakeCommand {
  static override paths = [["instances"]];
  static override usage = Command.Usage({
    description: "Fake of the instance list",
  });

  async execute(): Promise<void> {
    await serveFakeInstanceList({ address: this.address });
  }
}

class EngineCommand extends FakeCommand {
  static override paths = [["engine"]];
  static override usage = Command.Usage({
    description: "Fake of a model engine",
  });
  instanceId = Option.String("--instance-id", { required: true });
  ignoresFencing = Option.Boolean("--ignores-fencing", false);
  loadMs = Option.String("--load-ms", "200");
  tokenIntervalMs = Option.String("--token-interval-ms", "10");

  async execute(): Promise<void> {
    await serveFakeEngine({
      address: this.address,
      instanceId: this.instanceId,
      checksFencing: !this.ignoresFencing,
      loadMs: Number(this.loadMs),
      tokenIntervalMs: Number(this.tokenIntervalMs),
    });
  }
}

class PlainCommand extends FakeCommand {
  static override paths = [["plain"]];
  static override usage = Command.Usage({
    description: "Fake of a plain service",
  });
  instanceId = Option.String("--instance-id", { required: true });

  async execute(): Promise<void> {
    await serveFakePlainService({
      address: this.address,
      instanceId: this.instanceId,
    });
  }
}

const cli = new Cli({ binaryName: "celerytray-fake" });
for (
  const command of [LogCommand, InstancesCommand, EngineCommand, PlainCommand]
) {
  cli.register(command);
}
await cli.runExit(process.argv.slice(2));

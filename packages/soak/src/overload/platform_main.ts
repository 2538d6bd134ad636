/** Process of the platform: its store and model instances. */
import { FakePlatform, type FakeStreamRun } from "@celerytray/fakes";
import { InstanceDisturber } from "./instance_disturber.ts";
import {
  DOMAINS,
  EVENT_PAUSE_MS,
  EVENTS,
  headLimits,
  INSTANCES_PER_DOMAIN,
  zones,
} from "./overload_models.ts";
import type { OverloadOptions } from "./overload_options.ts";
import type { PlatformCommand, PlatformReport } from "./platform_messages.ts";

const runs: FakeStreamRun[] = [];
const arrivals = { run: 0, full: 0, misdirected: 0 };
let platform: FakePlatform;
let disturber: InstanceDisturber;

process.on("disconnect", () => process.exit());
process.on("message", (command: PlatformCommand) => void obey(command));

async function obey(command: PlatformCommand): Promise<void> {
  switch (command.kind) {
    case "start":
      return report({
        kind: "started",
        storeAddress: await start(command.options),
      });
    case "publish":
      return platform.publishConfig(command.config);
    case "disturb":
      return disturber.start();
    case "count-heads":
      return report({ kind: "heads", count: platform.listServing().length });
    case "finish": {
      disturber.stop();
      const { disturbances } = disturber;
      return report({ kind: "finished", runs, disturbances, arrivals });
    }
  }
}

function report(message: PlatformReport): void {
  process.send!(message);
}

async function start(options: OverloadOptions): Promise<string> {
  platform = new FakePlatform({
    onStreamEnd: (run) => runs.push(run),
    onArrival: ({ hasRun, isMisdirected }) => {
      arrivals[hasRun ? "run" : isMisdirected ? "misdirected" : "full"] += 1;
    },
    headLimits: {
      ...headLimits,
      ...(options.hasResets ? {} : { maxConnections: 10_000 }),
    },
  });
  disturber = new InstanceDisturber(platform, options, prepareInstance);
  const storeAddress = await platform.start();
  for (let domain = 0; domain < DOMAINS; domain++) {
    for (let index = 0; index < INSTANCES_PER_DOMAIN; index++) {
      const id = `model-${domain}-${index}`;
      await platform.startInstance(
        id,
        `domain-${domain}`,
        zones[domain % zones.length],
      );
      prepareInstance(id);
    }
  }
  return storeAddress;
}

function prepareInstance(id: string): void {
  const instance = platform.instances.get(id)!;
  instance.eventCount = EVENTS;
  instance.eventPauseMs = EVENT_PAUSE_MS;
}

import {
  callStream,
  COMPLETE_STREAM,
  type FakePlatform,
} from "@celerytray/fakes";
import { Cli } from "clipanion";
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PassThrough } from "node:stream";
import { commands } from "../commands/index.ts";
import type { HostProcess } from "./host_process.ts";
import {
  startHostCluster,
  startProcess,
  WAIT_OPTIONS,
} from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/** Crashes after which no more than single requests may reach replicas. */
const MAX_CRASHES = 5;
const PAUSE_MS = 150;
const CALLS = 40;

// Guards against a prompt that crashes replicas one after the other, and that
// comes through again after all processes have restarted.
describe("host processes and a poison prompt", () => {
  it("refuse it, also after a restart, until the operator releases it", async () => {
    const { platform, storeAddress, processes } = await startHostCluster([
      "d0",
      "d1",
      "d2",
    ]);
    platform.deadlyParts.add("deadly");
    let answer = await callPoison(processes[0]!, 0);
    for (let call = 1; call < CALLS; call++) {
      const process = processes[call % 2]!;
      [answer] = await Promise.all([
        callPoison(process, call),
        callSound(process),
      ]);
      await sleep(PAUSE_MS);
    }
    expect(platform.crashedIds.length <= MAX_CRASHES).toEqual(true);
    expect(answer.status).toEqual(503);
    expect(answer.body.includes("in quarantine")).toEqual(true);
    await restartCrashed(platform);

    const crashes = platform.crashedIds.length;
    for (const { child } of processes) {
      const exited = once(child, "exit");
      child.kill("SIGKILL");
      await exited;
    }
    const restarted = await startProcess("front-1", storeAddress);
    await waitUntil("the restarted process serves sound prompts", {
      ...WAIT_OPTIONS,
      check: async () => {
        const { body } = await callSound(restarted);
        return body === COMPLETE_STREAM;
      },
    });
    expect((await callPoison(restarted, CALLS)).status).toEqual(503);
    expect(platform.crashedIds.length).toEqual(crashes);

    platform.deadlyParts.clear();
    const store = ["--store", storeAddress];
    const listed = await runCommand(["quarantine", "list", ...store]);
    expect(listed.includes("deadly")).toEqual(true);
    await runCommand(["quarantine", "release", "deadly", ...store]);
    await waitUntil("the released prompt is served", {
      ...WAIT_OPTIONS,
      check: async () =>
        (await callPoison(restarted, CALLS + 1)).body === COMPLETE_STREAM,
    });
  });
});

function callPoison({ address }: HostProcess, index: number) {
  const parts = `first:1,deadly:1,own${index}:1`;
  return callStream(address, `poison-${index}`, parts);
}

function callSound({ address }: HostProcess) {
  return callStream(address, "sound", "first:1,usual:1,own:1");
}

async function restartCrashed(platform: FakePlatform): Promise<void> {
  for (const id of new Set(platform.crashedIds)) {
    if (!platform.find(id).isAlive) await platform.restart(id);
  }
}

async function runCommand(words: string[]): Promise<string> {
  const cli = new Cli({ binaryName: "celerytray" });
  for (const command of commands) cli.register(command);
  const stdout = new PassThrough();
  let text = "";
  stdout.setEncoding("utf8").on("data", (chunk: string) => text += chunk);
  await cli.run(words, { stdout, stderr: stdout });
  return text;
}

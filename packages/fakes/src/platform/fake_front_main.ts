/** Runs the fake front as a process, with the fault that FAKE_FRONT_FAULT names. */
import { readFileSync } from "node:fs";
import { FakeFront, fakeFrontFaults } from "./fake_front.ts";

// Its settings never change.
process.on("SIGHUP", () => {});

const text = readFileSync(process.env.CELERYTRAY_BOOT ?? "", "utf8");
const settings = new Map(
  text.split("\n").map((line) => line.split("=") as [string, string]),
);
const fault = fakeFrontFaults.find((known) =>
  known === process.env.FAKE_FRONT_FAULT
);
if (fault === undefined) {
  throw new Error(`FAKE_FRONT_FAULT must be one of ${fakeFrontFaults.join()}`);
}
const front = new FakeFront({
  fault,
  storeAddress: settings.get("platform.address") ?? "",
});
front.start(settings.get("listen.front") ?? "");
process.on("SIGTERM", () => front.stop());

import { expect } from "earl";
import { describe, it } from "node:test";
import { SoakHistory } from "./history.ts";
import { SoakCluster } from "./soak_cluster.ts";

const ZONE = "zone-a";
const KEY = `evacuate/${ZONE}`;
const TOPIC = "keyed.op";

// Guards against an operator who leaves a zone evacuated for good, as the end of
// its evacuation is what the store lost.
describe("SoakCluster, after the store came back from an older copy", () => {
  it("ends an evacuation that has ended, and repeats one that has not", () => {
    expect(isEvacuatedAfterReturn(["evacuate", "copy"])).toEqual(true);
    expect(isEvacuatedAfterReturn(["copy", "evacuate"])).toEqual(true);
    expect(isEvacuatedAfterReturn(["evacuate", "copy", "restore"]))
      .toEqual(false);
    expect(isEvacuatedAfterReturn(["evacuate", "copy", "restore", "evacuate"]))
      .toEqual(true);
  });
});

function isEvacuatedAfterReturn(
  steps: readonly ("evacuate" | "restore" | "copy")[],
): boolean {
  const history = new SoakHistory();
  const cluster = new SoakCluster(history);
  const { platform } = cluster;
  const { store } = platform.storeServer;
  let copy = store.copy();
  let end = () => {};
  for (const step of steps) {
    if (step === "copy") copy = store.copy();
    else platform[step](ZONE);
    if (step === "evacuate") {
      end = history.beginState(history.evacuations, ZONE);
    }
    if (step === "restore") end();
  }
  platform.storeServer.returnFrom(copy);
  cluster.rewriteStore();
  const latest = store.read(TOPIC, 0).findLast(({ key }) => key === KEY);
  return latest?.value !== undefined;
}

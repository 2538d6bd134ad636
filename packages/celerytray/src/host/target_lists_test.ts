import { expect } from "earl";
import { Right } from "purify-ts";
import { describe, it } from "node:test";
import { InstanceListView, type InstanceState } from "../groups/index.ts";
import type { ServedService } from "../serving/index.ts";
import { TargetLists } from "./target_lists.ts";

const COLD = { startMs: 3_000, requestsPerSecond: 18 };
const REGIONS = new Map([["a", "north"], ["b", "south"]]);

describe("TargetLists", () => {
  it("leaves out the instances of evacuated zones, plain ones too", () => {
    const world = createWorld(["a", "b"]);
    world.evacuate("a");
    expect(world.list("plain")).toEqual(["plain-b"]);
    expect(world.list("engine", "m")).toEqual(["head-b"]);
    expect(world.lists.findBar("plain")).toEqual(undefined);
    world.evacuate();
    expect(world.list("plain")).toEqual(["plain-a", "plain-b"]);
  });

  it("tells that all zones are evacuated", () => {
    const world = createWorld(["a", "b"]);
    world.evacuate("a", "b");
    expect(world.list("plain")).toEqual([]);
    expect(world.lists.findBar("plain")).toEqual("evacuated");
  });

  it("is not changed by an evacuation of a zone without instances", () => {
    const world = createWorld(["a", "b"]);
    world.evacuate("nowhere");
    expect(world.list("plain")).toEqual(["plain-a", "plain-b"]);
  });

  it("keeps to home regions; unknown zones and regions allow nothing", () => {
    const world = createWorld(["a", "b", "unknown"]);
    expect(world.list("plain", undefined, ["north"])).toEqual(["plain-a"]);
    expect(world.list("plain", undefined, ["west", "south"]))
      .toEqual(["plain-b"]);
    for (const homes of [[], ["west"], ["unknown"]]) {
      expect(world.list("plain", undefined, homes)).toEqual([]);
      expect(world.lists.findBar("plain", homes)).toEqual("not-at-home");
    }
  });

  it("tells that the home region is evacuated while others serve", () => {
    const world = createWorld(["a", "b"]);
    world.evacuate("a");
    expect(world.lists.findBar("plain", ["north"])).toEqual("evacuated");
    expect(world.lists.findBar("plain", ["south"])).toEqual(undefined);
  });

  // A model without a replica may get one soon, which is worth a wait.
  it("bars no model whose service has instances that may serve", () => {
    const world = createWorld(["a", "b"]);
    expect(world.list("engine", "other")).toEqual([]);
    expect(world.lists.findBar("engine")).toEqual(undefined);
  });

  it("bars nothing before the list was read", () => {
    expect(createWorld(undefined).lists.findBar("plain", ["north"]))
      .toEqual(undefined);
  });

  it("adopts the bounds of cold instances with the configuration", () => {
    const world = createWorld(["a"]);
    expect(world.lists.list("plain", undefined)[0]!.cold).toEqual(undefined);
    world.configure({ name: "plain", maxConnections: 1, cold: COLD });
    expect(world.lists.list("plain", undefined)[0]!.cold).toEqual(COLD);
  });
});

function createWorld(zones: readonly string[] | undefined) {
  const states = (zones ?? []).flatMap((zone) => [
    createState({ id: `plain-${zone}`, service: "plain", zone }),
    createState({
      id: `head-${zone}`,
      service: "engine",
      zone,
      domain: zone,
      loadedModel: "m",
      membership: { replica: zone, epoch: 1, rank: 0, state: "open" },
    }),
  ]);
  const instances = new InstanceListView({
    decode: (id) => Right(states.find((state) => state.id === id)!),
    onMalformed: () => {},
  });
  const records = states.map(({ id }, offset) => ({
    key: id,
    value: Buffer.from(""),
    offset,
  }));
  if (zones !== undefined) instances.apply({ isFullRead: true, records }, 0);
  let evacuated: readonly string[] = [];
  let revision = 0;
  let services: ReadonlyMap<string, ServedService> = new Map();
  const lists = new TargetLists({
    instances,
    closedHeads: () => [],
    services: () => services,
    evacuations: {
      get revision() {
        return revision;
      },
      isEvacuated: (zone) => evacuated.includes(zone),
    },
    zoneRegions: REGIONS,
  });
  return {
    lists,
    list: (service: string, model?: string, homes?: readonly string[]) =>
      lists.list(service, model, homes).map(({ instanceId }) => instanceId),
    evacuate: (...zones: string[]) => {
      evacuated = zones;
      revision += 1;
    },
    configure: (service: ServedService) => {
      services = new Map([[service.name, service]]);
    },
  };
}

function createState(
  own: Pick<InstanceState, "id" | "service" | "zone"> & Partial<InstanceState>,
): InstanceState {
  return {
    address: "127.0.0.1:1",
    slots: 2,
    isDraining: false,
    stagedModels: [],
    ...own,
  };
}

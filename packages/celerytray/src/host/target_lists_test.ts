import { expect } from "earl";
import { Right } from "purify-ts";
import { describe, it } from "node:test";
import { InstanceListView, type InstanceState } from "../groups/index.ts";
import type { ServedService } from "../serving/index.ts";
import { TargetLists } from "./target_lists.ts";

const COLD = { startMs: 3_000, requestsPerSecond: 18 };
const REGIONS = new Map([["a", "north"], ["b", "south"]]);

describe("TargetLists", () => {
  it("omits the instances of evacuated zones, including plain ones", () => {
    const fixture = createFixture(["a", "b"]);
    fixture.evacuate("a");
    expect(fixture.list("plain")).toEqual(["plain-b"]);
    expect(fixture.list("engine", "m")).toEqual(["head-b"]);
    expect(fixture.lists.findExclusionReason("plain")).toEqual(undefined);
    fixture.evacuate();
    expect(fixture.list("plain")).toEqual(["plain-a", "plain-b"]);
  });

  it("reports that all zones are evacuated", () => {
    const fixture = createFixture(["a", "b"]);
    fixture.evacuate("a", "b");
    expect(fixture.list("plain")).toEqual([]);
    expect(fixture.lists.findExclusionReason("plain")).toEqual("evacuated");
  });

  it("ignores the evacuation of a zone without instances", () => {
    const fixture = createFixture(["a", "b"]);
    fixture.evacuate("nowhere");
    expect(fixture.list("plain")).toEqual(["plain-a", "plain-b"]);
  });

  it("lists only home regions; unknown zones and regions match nothing", () => {
    const fixture = createFixture(["a", "b", "unknown"]);
    expect(fixture.list("plain", undefined, ["north"])).toEqual(["plain-a"]);
    expect(fixture.list("plain", undefined, ["west", "south"]))
      .toEqual(["plain-b"]);
    for (const regions of [[], ["west"], ["unknown"]]) {
      expect(fixture.list("plain", undefined, regions)).toEqual([]);
      expect(fixture.lists.findExclusionReason("plain", regions)).toEqual(
        "not-at-home",
      );
    }
  });

  it("reports that the home region is evacuated while others serve", () => {
    const fixture = createFixture(["a", "b"]);
    fixture.evacuate("a");
    expect(fixture.lists.findExclusionReason("plain", ["north"])).toEqual(
      "evacuated",
    );
    expect(fixture.lists.findExclusionReason("plain", ["south"])).toEqual(
      undefined,
    );
  });

  // A model without a replica may get one soon, so its requests may wait.
  it("does not exclude a model whose service has usable instances", () => {
    const fixture = createFixture(["a", "b"]);
    expect(fixture.list("engine", "other")).toEqual([]);
    expect(fixture.lists.findExclusionReason("engine")).toEqual(undefined);
  });

  it("excludes nothing before the instance list was read", () => {
    expect(
      createFixture(undefined).lists.findExclusionReason("plain", ["north"]),
    )
      .toEqual(undefined);
  });

  it("applies the limits of cold instances with a new configuration", () => {
    const fixture = createFixture(["a"]);
    expect(fixture.lists.list("plain", undefined)[0]!.cold).toEqual(undefined);
    fixture.configure({ name: "plain", maxConnections: 1, cold: COLD });
    expect(fixture.lists.list("plain", undefined)[0]!.cold).toEqual(COLD);
  });
});

function createFixture(zones: readonly string[] | undefined) {
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
  const nextOffset = records.length;
  if (zones !== undefined) {
    instances.apply({ isFullRead: true, records, nextOffset }, 0);
  }
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
    list: (service: string, model?: string, regions?: readonly string[]) =>
      lists.list(service, model, regions).map(({ instanceId }) => instanceId),
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

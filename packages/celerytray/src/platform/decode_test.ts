import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { decodeConfig } from "./decode_config.ts";
import { decodeInstance } from "./decode_instance.ts";
import { decodeSettings } from "./settings_file.ts";

const SEED = 5;

const CONFIG = {
  version: 7,
  routes: [{
    name: "r-1",
    host: "A.example",
    path_prefix: "/a/",
    kind: "streaming",
    timeout_ms: 8000,
    target_latency_ms: 400,
    target_gap_ms: 300,
    priority: 1,
    split: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
    max_attempts: 2,
    public: false,
    resumable: true,
  }, {
    name: "r-2",
    host: "a.example",
    path_prefix: "/b/",
    kind: "unsafe",
    timeout_ms: 800,
    service: "s",
  }],
  services: [{
    name: "s",
    max_connections: 404,
    engine: {
      slots: 18,
      loads_per_s: 5.5,
      loads_at_once: 8,
      models: [{
        name: "m0",
        size: 6,
        share: 0.67,
        pace: 1.0,
        load_s: 16.0,
        warm_s: 1.6,
      }],
    },
  }],
  tenants: [{ name: "o", api_keys: ["k1", "k2"], priority: 1 }],
};

const ENTRY = {
  service: "s",
  address: "10.0.0.1:80",
  zone: "z",
  slots: 18,
  state: "ready",
  born: 1789955025888,
  models: [{ name: "m0", version: 1, adapters: [] }],
  domain: "z-d1",
  staged: ["m1"],
  group: { name: "g", epoch: 10, rank: 0, state: "open" },
};

describe("decodeConfig", () => {
  it("reads routes, services, models and tenants", () => {
    const config = decodeConfig(JSON.stringify(CONFIG)).unsafeCoerce();
    const [stream, unsafe] = config.routes;
    expect(stream!.host).toEqual("a.example");
    expect(stream!.retryPolicy).toEqual("resumable");
    expect([stream!.maxSilenceMs, unsafe!.maxSilenceMs])
      .toEqual([2_400, undefined]);
    expect(stream!.targets.map(({ weight }) => weight)).toEqual([90, 10]);
    expect(unsafe!.retryPolicy).toEqual("once");
    expect(unsafe!.maxAttempts).toEqual(1);
    const [model] = config.services.get("s")!.engine!.models;
    expect([model!.loadMs, model!.warmMs]).toEqual([16_000, 1_600]);
    expect(config.tenants![0]!.keys).toEqual(["k1", "k2"]);
  });

  it("leaves out home regions and cold starts that are not given", () => {
    const [route, other] = CONFIG.routes;
    const [service] = CONFIG.services;
    const config = decodeConfig(JSON.stringify({
      ...CONFIG,
      routes: [{ ...route, allowed_regions: ["a", "b"] }, other],
      services: [
        { ...service, cold_start_s: 3, cold_per_s: 18 },
        { name: "t", cold_start_s: 0, cold_per_s: 0 },
      ],
      tenants: [{ name: "o", api_keys: [], allowed_regions: [] }],
    })).unsafeCoerce();
    expect(config.routes.map(({ homes }) => homes)).toEqual([
      ["a", "b"],
      undefined,
    ]);
    expect(config.tenants![0]!.homes).toEqual([]);
    expect(config.services.get("s")!.cold).toEqual({
      startMs: 3_000,
      requestsPerSecond: 18,
    });
    expect(config.services.get("t")!.cold).toEqual(undefined);
  });

  it("names the field whose type is wrong", () => {
    const decoded = decodeConfig(JSON.stringify({ ...CONFIG, version: "7" }));
    expect(decoded.swap().unsafeCoerce()).toEqual("version must be a number");
  });

  it("never throws on damaged bytes", () => {
    const text = JSON.stringify(CONFIG);
    const property = fc.property(
      fc.nat(text.length),
      fc.nat(20),
      fc.string(),
      (at, length, inserted) => {
        const damaged = text.slice(0, at) + inserted + text.slice(at + length);
        decodeConfig(damaged);
      },
    );
    fc.assert(property, { seed: SEED });
  });
});

describe("decodeInstance", () => {
  it("reads an entry", () => {
    const state = decodeInstance("i-1", JSON.stringify(ENTRY)).unsafeCoerce();
    expect(state.membership).toEqual({
      replica: "g",
      epoch: 10,
      rank: 0,
      state: "open",
    });
    expect(state.loadedModel).toEqual("m0");
    expect(state.bornAtMs).toEqual(1789955025888);
  });

  it("passes cold times through, and reports other values as NaN", () => {
    const decodeColdRemainingMs = (cold: unknown) =>
      decodeInstance("i", JSON.stringify({ ...ENTRY, cold_remaining_ms: cold }))
        .unsafeCoerce().coldRemainingMs;
    expect([0, 1_500, -5, "2", undefined, null].map(decodeColdRemainingMs))
      .toEqual([0, 1_500, -5, Number.NaN, undefined, undefined]);
  });

  it("rejects entries with a missing or invalid field", () => {
    const changes: Record<string, unknown>[] = [
      { state: "sleeping" },
      { address: "host:80" },
      { address: 7 },
      { born: 1.5 },
      { service: undefined },
      { group: { name: "g", epoch: 1, rank: 0, state: "new" } },
    ];
    for (const change of changes) {
      const text = JSON.stringify({ ...ENTRY, ...change });
      expect(decodeInstance("i-1", text).isLeft()).toEqual(true);
    }
    expect(decodeInstance("i-1", "\u0000").isLeft()).toEqual(true);
  });
});

describe("decodeSettings", () => {
  const LINES = [
    "node_name=front-1",
    "zone=z",
    "ip=10.0.0.1",
    "listen.front=10.0.0.1:80",
    "listen.ready=10.0.0.1:81",
    "internal_ports=7340,7355",
    "platform.address=10.0.0.9:82",
    "bounds.grace_s=8",
    "some.field=that is not known",
  ];

  it("reads the file and uses defaults for settings that are not given", () => {
    const settings = decodeSettings(LINES.join("\n")).unsafeCoerce();
    expect(settings.peerAddress).toEqual("10.0.0.1:7340");
    expect(settings.metricsAddress).toEqual("10.0.0.1:7355");
    expect(settings.graceMs).toEqual(8_000);
    expect(settings.keyRevocationMs).toEqual(5_000);
  });

  it("names each field that is missing or wrong, with the remedy", () => {
    const text = LINES.slice(1).join("\n").replace("=8", "=soon")
      .replace("10.0.0.1:81", "here");
    expect(decodeSettings(text).swap().unsafeCoerce().split("\n").sort())
      .toEqual([
        "bounds.grace_s is soon; give a number of 0 or more",
        "listen.ready is here; give IP:PORT",
        "node_name is missing; add a line for it",
      ]);
  });
});

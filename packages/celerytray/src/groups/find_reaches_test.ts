import { expect } from "earl";
import { Effect } from "effect";
import { Right } from "purify-ts";
import { describe, it } from "node:test";
import { findReaches, type Reaches } from "./find_reaches.ts";
import { InstanceSilent } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";

const ASKED = ["d0-0", "d0-1"];
const OTHERS = ["d0-2", "d1-0", "d2-0", "d3-0"];

// Guards against a process that lost its own links and tells others that sound
// instances are lost.
describe("findReaches", () => {
  it("tells which of the instances answer", async () => {
    expect(await find(["d0-0", ...OTHERS]))
      .toEqual({ "d0-0": "answered", "d0-1": "unanswered" });
  });

  it("can't tell if no other instance answers either", async () => {
    expect(await find([])).toEqual({ "d0-0": "unknown", "d0-1": "unknown" });
  });

  it("compares with instances of other domains, as a domain fails at once", async () => {
    expect(await find(["d1-0", "d2-0", "d3-0"]))
      .toEqual({ "d0-0": "unanswered", "d0-1": "unanswered" });
  });

  it("can't tell if all instances are asked for, and none answers", async () => {
    expect(await find([], { others: [] }))
      .toEqual({ "d0-0": "unknown", "d0-1": "unknown" });
    expect(await find(["d0-0"], { others: [] }))
      .toEqual({ "d0-0": "answered", "d0-1": "unanswered" });
  });

  // Guards against the members of a full head, which resets probes and writes,
  // that are ordered into another replica while it streams (TWO).
  it("reaches all members of a replica that writes, whatever their probes say", async () => {
    const writing = { writingHeadId: "d0-0" };
    expect(await find(OTHERS, writing))
      .toEqual({ "d0-0": "answered", "d0-1": "answered" });
    expect(await find(OTHERS, { writingHeadId: "d1-0" }))
      .toEqual({ "d0-0": "unanswered", "d0-1": "unanswered" });
  });

  it("believes its own probe of the only instance", async () => {
    expect(await find([], { asked: ["d0-0"], others: [] }))
      .toEqual({ "d0-0": "unanswered" });
  });
});

function find(
  answering: readonly string[],
  { asked = ASKED, others = OTHERS, writingHeadId }: {
    readonly asked?: readonly string[];
    readonly others?: readonly string[];
    readonly writingHeadId?: string;
  } = {},
): Promise<Reaches> {
  const states = new Map(
    [
      ...asked.map((id, rank) => createMember(id, rank)),
      ...others.map(createInstance),
    ].map((instance) => [instance.id, instance]),
  );
  return Effect.runPromise(findReaches(
    asked.map((id) => ({ id, address: `${id}:1` })),
    {
      instances: {
        find: (id) => states.get(id),
        list: () => [...states.values()],
      },
      control: {
        probe: ({ id }) =>
          answering.includes(id)
            ? Effect.succeed({ pace: Right(1), isLeaving: false })
            : Effect.fail(
              new InstanceSilent({ reason: "unreachable", message: "silent" }),
            ),
      },
      hasWritten: (headId) => headId === writingHeadId,
      random: () => 0,
    },
  ));
}

/** A member of the replica of the instances that are asked for. */
function createMember(id: string, rank: number): InstanceState {
  const membership = { replica: "r", epoch: 1, rank, state: "open" } as const;
  return { ...createInstance(id), membership };
}

function createInstance(id: string): InstanceState {
  return {
    id,
    service: "drafts",
    address: `${id}:1`,
    zone: "z",
    slots: 8,
    isDraining: false,
    domain: id.slice(0, 2),
    stagedModels: [],
  };
}

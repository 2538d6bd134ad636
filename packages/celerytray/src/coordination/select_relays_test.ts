import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { PeerNode } from "./peer_messages.ts";
import { selectRelays } from "./select_relays.ts";
import { selectParent } from "./select_parent.ts";

const SEED = 17;
const LEADER_ID = "node-0";
/** Most reporters that a process may have among 1,000 processes. */
const MAX_CHILDREN = 80;
const MAX_RELAYS = 40;

/** Machines as in the large deployment: one in thirteen has more cores. */
function createNodes(size: number): readonly PeerNode[] {
  return Array.from({ length: size }, (_, index) => ({
    nodeId: `node-${index}`,
    peerAddress: `${index}`,
    zone: `z${index % 5}`,
    cores: index % 13 === 0 ? 1.35 : 0.324,
  }));
}

function select(nodes: readonly PeerNode[], previous: readonly PeerNode[]) {
  return selectRelays({
    leaderId: LEADER_ID,
    processes: nodes.length,
    candidates: nodes,
    previous,
  });
}

describe("selectRelays", () => {
  it("limits the reporters of each process, from 1 to 1,000 processes", () => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000 }), (size) => {
      const nodes = createNodes(size);
      const relays = select(nodes, []);
      expect(relays.length <= MAX_RELAYS).toEqual(true);
      expect(relays.every(({ nodeId }) => nodeId !== LEADER_ID)).toEqual(true);
      const children = new Map<string, number>();
      for (const self of nodes.slice(1)) {
        const parent = selectParent({
          self,
          processes: size,
          relays,
          isAvoided: () => false,
        });
        const id = parent?.nodeId ?? LEADER_ID;
        children.set(id, (children.get(id) ?? 0) + 1);
      }
      const most = Math.max(0, ...children.values());
      expect(most <= MAX_CHILDREN).toEqual(true);
    });
    fc.assert(property, { seed: SEED });
  });

  it("selects processes with the most cores, some in each zone", () => {
    const relays = select(createNodes(195), []);
    expect(relays.length).toEqual(14);
    const withMostCores = relays.filter(({ cores }) => cores > 1);
    expect(withMostCores.length >= 12).toEqual(true);
    const zones = new Set(relays.map(({ zone }) => zone));
    expect(zones.size).toEqual(5);
  });

  it("keeps the current relays and replaces one that is gone", () => {
    const nodes = createNodes(195);
    const before = select(nodes, []);
    expect(select([...nodes].reverse(), before)).toEqual(before);
    const removed = before[3]!;
    const after = select(
      nodes.filter(({ nodeId }) => nodeId !== removed.nodeId),
      before,
    );
    const kept = after.filter((node) => before.includes(node));
    expect([after.length, kept.length]).toEqual([14, 13]);
  });
});

describe("selectParent", () => {
  const nodes = createNodes(195);
  const relays = select(nodes, []);
  const parentOf = (self: PeerNode, avoided: readonly string[] = []) =>
    selectParent({
      self,
      processes: nodes.length,
      relays,
      isAvoided: (nodeId) => avoided.includes(nodeId),
    });

  it("stays in the zone while a relay there is usable", () => {
    const self = nodes[101]!;
    expect(parentOf(self)?.zone).toEqual(self.zone);
    const sameZone = relays.filter(({ zone }) => zone === self.zone)
      .map(({ nodeId }) => nodeId);
    const other = parentOf(self, sameZone);
    expect(other !== undefined && !sameZone.includes(other.nodeId)).toEqual(
      true,
    );
  });

  it("selects the leader if no relay is usable, and for a relay", () => {
    const all = relays.map(({ nodeId }) => nodeId);
    expect(parentOf(nodes[101]!, all)).toEqual(undefined);
    expect(parentOf(relays[0]!)).toEqual(undefined);
  });

  it("selects the leader if there are few processes", () => {
    const few = createNodes(7);
    const parent = selectParent({
      self: few[3]!,
      processes: few.length,
      relays: select(few, []),
      isAvoided: () => false,
    });
    expect(parent).toEqual(undefined);
  });
});

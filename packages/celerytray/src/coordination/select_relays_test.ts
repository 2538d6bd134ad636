import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import type { PeerNode } from "./peer_messages.ts";
import { selectRelays } from "./select_relays.ts";
import { selectParent } from "./select_parent.ts";

const SEED = 17;
const LEAD_ID = "node-0";
/** Processes that any of them may have to answer, at 1,000 of them. */
const MAX_CHILDREN = 80;
const MAX_RELAYS = 40;

/** Machines as in the users' large deployment: one in thirteen is able. */
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
    leadId: LEAD_ID,
    processes: nodes.length,
    candidates: nodes,
    previous,
  });
}

describe("selectRelays", () => {
  it("lets nobody hear many, from 1 to 1,000 processes", () => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000 }), (size) => {
      const nodes = createNodes(size);
      const relays = select(nodes, []);
      expect(relays.length <= MAX_RELAYS).toEqual(true);
      expect(relays.every(({ nodeId }) => nodeId !== LEAD_ID)).toEqual(true);
      const children = new Map<string, number>();
      for (const self of nodes.slice(1)) {
        const parent = selectParent({
          self,
          processes: size,
          relays,
          isAvoided: () => false,
        });
        const id = parent?.nodeId ?? LEAD_ID;
        children.set(id, (children.get(id) ?? 0) + 1);
      }
      const most = Math.max(0, ...children.values());
      expect(most <= MAX_CHILDREN).toEqual(true);
    });
    fc.assert(property, { seed: SEED });
  });

  it("selects the most able, some in each zone", () => {
    const relays = select(createNodes(195), []);
    expect(relays.length).toEqual(14);
    const able = relays.filter(({ cores }) => cores > 1);
    expect(able.length >= 12).toEqual(true);
    const zones = new Set(relays.map(({ zone }) => zone));
    expect(zones.size).toEqual(5);
  });

  it("keeps those that it has, and replaces one that is gone", () => {
    const nodes = createNodes(195);
    const before = select(nodes, []);
    expect(select([...nodes].reverse(), before)).toEqual(before);
    const gone = before[3]!;
    const after = select(
      nodes.filter(({ nodeId }) => nodeId !== gone.nodeId),
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

  it("stays in the zone while a relay there helps", () => {
    const self = nodes[101]!;
    expect(parentOf(self)?.zone).toEqual(self.zone);
    const near = relays.filter(({ zone }) => zone === self.zone)
      .map(({ nodeId }) => nodeId);
    const far = parentOf(self, near);
    expect(far !== undefined && !near.includes(far.nodeId)).toEqual(true);
  });

  it("turns to the lead where no relay helps, and as a relay", () => {
    const all = relays.map(({ nodeId }) => nodeId);
    expect(parentOf(nodes[101]!, all)).toEqual(undefined);
    expect(parentOf(relays[0]!)).toEqual(undefined);
  });

  it("turns to the lead where there are few processes", () => {
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

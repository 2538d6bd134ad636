import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { FairQueue, type QueuedTicket } from "./fair_queue.ts";

const SEED = 52;
const ROUNDING = 1e-9;
const BACKLOG = 1_000;
/** Each other organisation may tie with a new request. */
const OTHER_ORGANISATIONS = 2;

describe("FairQueue", () => {
  it("serves two backlogged organisations by weight, within one request each", () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 1, max: 9 }),
      fc.array(fc.nat(2), { maxLength: 100 }),
      (weightA, weightB, others) => {
        const queue = new FairQueue<QueuedTicket>();
        let ticketId = 0;
        const add = (organisationName: string, weight: number) =>
          queue.add({
            ticketId: ticketId++,
            organisationName,
            weight,
            priority: 0,
          });
        for (let index = 0; index < BACKLOG; index++) {
          add("a", weightA);
          add("b", weightB);
        }
        const servedCounts = { a: 0, b: 0, c: 0 };
        for (const arrivals of others) {
          for (let index = 0; index < arrivals; index++) add("c", 2);
          const name = queue.take()!.organisationName as "a" | "b" | "c";
          servedCounts[name] += 1;
          const gap = Math.abs(
            servedCounts.a / weightA - servedCounts.b / weightB,
          );
          const bound = 1 / weightA + 1 / weightB;
          expect(gap <= bound + ROUNDING).toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it("counts the waiting requests that precede a new one", () => {
    const ticket = fc.record({
      organisationName: fc.constantFrom("a", "b", "c"),
      priority: fc.nat(2),
    });
    const weights: Record<string, number> = { a: 1, b: 2, c: 4 };
    const property = fc.property(
      fc.array(ticket, { maxLength: 30 }),
      ticket,
      fc.nat(10),
      (waiting, last, takes) => {
        const queue = new FairQueue<QueuedTicket>();
        let ticketId = 0;
        const add = ({ organisationName, priority }: typeof last) => {
          const weight = weights[organisationName]!;
          queue.add({ organisationName, priority, weight, ticketId });
          return ticketId++;
        };
        waiting.forEach(add);
        for (let index = 0; index < takes; index++) queue.take();
        const weight = weights[last.organisationName]!;
        const ahead = queue.countAhead({ ...last, weight });
        const lastId = add(last);
        let before = 0;
        while (queue.take()!.ticketId !== lastId) before += 1;
        const error = Math.abs(before - ahead);
        expect(error <= OTHER_ORGANISATIONS).toEqual(true);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it("serves higher priorities first within an organisation", () => {
    const queue = new FairQueue<QueuedTicket>();
    [0, 2, 1, 2].forEach((priority, ticketId) =>
      queue.add({ ticketId, organisationName: "a", weight: 1, priority })
    );
    const order = [0, 1, 2, 3].map(() => queue.take()?.ticketId);
    expect(order).toEqual([1, 3, 2, 0]);
  });
});

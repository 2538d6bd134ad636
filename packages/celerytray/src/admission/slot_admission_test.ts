import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { SlotAdmission, type SlotTicket } from "./slot_admission.ts";

const SEED = 53;
const SLOTS = 3;
const MAX_QUEUED = 2;

const step = fc.oneof(
  fc.record({
    kind: fc.constant("offer" as const),
    organisation: fc.constantFrom("a", "b"),
    deadlineMs: fc.constantFrom(0, 500, 5_000, 50_000),
  }),
  fc.record({ kind: fc.constant("finish" as const), index: fc.nat(5) }),
  fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(1_000) }),
);

describe("SlotAdmission", () => {
  it("stays within its limits and starts no request too late", () => {
    const property = fc.property(
      fc.array(step, { maxLength: 100 }),
      (steps) => {
        const slots = new SlotAdmission({
          slotCount: () => SLOTS,
          maxQueued: MAX_QUEUED,
        });
        const running: SlotTicket[] = [];
        let nowMs = 0;
        for (const each of steps) {
          if (each.kind === "wait") nowMs += each.ms;
          if (each.kind === "offer") {
            const countsBefore = [slots.running, slots.queued];
            const offered = slots.offer({
              organisationName: each.organisation,
              weight: 1,
              priority: 0,
              deadlineAtMs: nowMs + each.deadlineMs,
              nowMs,
            });
            offered.ifRight((ticket) => {
              if (ticket.startedAtMs !== undefined) running.push(ticket);
            });
            offered.ifLeft((refused) => {
              expect(refused.retryAfterMs > 0).toEqual(true);
              expect([slots.running, slots.queued]).toEqual(countsBefore);
            });
          }
          if (each.kind === "finish" && running.length > 0) {
            const [ended] = running.splice(each.index % running.length, 1);
            slots.finish(ended!, { nowMs });
          }
          for (const ticket of slots.startNext(nowMs).started) {
            expect(ticket.deadlineAtMs >= nowMs).toEqual(true);
            running.push(ticket);
          }
          expect(slots.running).toEqual(running.length);
          expect(slots.running <= SLOTS).toEqual(true);
          expect(slots.queued <= MAX_QUEUED).toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

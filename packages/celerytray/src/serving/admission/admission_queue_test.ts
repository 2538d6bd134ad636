import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { AdmissionQueue } from "./admission_queue.ts";
import type {
  AdmissionRequest,
  AdmissionTicket,
  HeadOccupancy,
} from "./admission_ticket.ts";

const SEED = 71;
const BUDGET_MS = 4_000;
let requests = 0;

function createRequest(
  own: Partial<AdmissionRequest> & { readonly nowMs?: number } = {},
): AdmissionRequest {
  const { nowMs = 0, ...fields } = own;
  requests += 1;
  return {
    requestId: `r-${requests}`,
    tenant: "a",
    priority: 0,
    targetAtMs: nowMs + 500,
    deadlineAtMs: nowMs + BUDGET_MS,
    wasRefused: false,
    arrivedAtMs: nowMs,
    ...fields,
  };
}

function createQueue(
  totals?: Readonly<Record<string, number>>,
  occupancy: HeadOccupancy = "some-full",
): AdmissionQueue {
  return new AdmissionQueue({
    tenantTotals: () => totals,
    headOccupancy: () => occupancy,
  });
}

/**
 * A queue with an active limit and all slots taken, including the extra one
 * that on-time requests may use above a limit of 2 to 5.
 */
function createFullQueue(
  slots: number,
  totals?: Readonly<Record<string, number>>,
) {
  const queue = createQueue(totals);
  const started = Array.from(
    { length: slots },
    () => queue.startImmediately(createRequest({ tenant: "held" }), 0),
  );
  queue.noteCongestion(0);
  if (slots > 1) {
    started.push(queue.startImmediately(createRequest({ tenant: "held" }), 0));
  }
  return { queue, started };
}

function endOne(
  queue: AdmissionQueue,
  started: AdmissionTicket[],
  nowMs: number,
): readonly AdmissionTicket[] {
  queue.end(started.shift()!, { isServed: true }, nowMs);
  const settled = queue.advance(nowMs);
  started.push(...settled.filter(({ state }) => state === "started"));
  return settled;
}

describe("AdmissionQueue", () => {
  it("lets requests wait only while congestion is reported", () => {
    const { queue } = createFullQueue(2);
    expect(queue.offer(createRequest(), 10).state).toEqual("waiting");
    expect(queue.advance(400).length).toEqual(0);
    expect(queue.isLimited(2_999)).toEqual(true);
    expect(queue.isLimited(3_000)).toEqual(false);
    expect(queue.advance(3_000).length).toEqual(1);
    expect(queue.offer(createRequest(), 3_001).state).toEqual("started");
  });

  it("orders by on-time chance, priority, slack and earlier refusals", () => {
    const { queue, started } = createFullQueue(1);
    const late = createRequest({ targetAtMs: 5 });
    const low = createRequest({ priority: 2 });
    const slack = createRequest({ targetAtMs: 900 });
    const first = createRequest();
    const refused = createRequest({ wasRefused: true });
    const offered = [late, low, slack, first, refused];
    for (const request of offered) queue.offer(request, 10);
    const order = offered.flatMap(() => endOne(queue, started, 20));
    expect(order.map(({ request }) => request))
      .toEqual([refused, first, slack, low, late]);
  });

  it("sends requests within the fair share first, whatever their priority", () => {
    const totals = { big: 300, small: 10, other: 10 };
    const { queue, started } = createFullQueue(4, totals);
    for (let index = 0; index < 20; index++) {
      queue.offer(createRequest({ tenant: "big" }), 10);
    }
    for (let index = 0; index < 4; index++) endOne(queue, started, 20);
    const small = queue.offer(
      createRequest({ tenant: "small", priority: 5 }),
      30,
    );
    endOne(queue, started, 40);
    expect(small.state).toEqual("started");
  });

  it("gives idle slots to an organisation above its share", () => {
    const { queue, started } = createFullQueue(3, { big: 900 });
    for (let index = 0; index < 9; index++) {
      queue.offer(createRequest({ tenant: "big" }), 10);
    }
    for (let index = 0; index < 9; index++) {
      expect(endOne(queue, started, 20).length).toEqual(1);
    }
  });

  it("refuses immediately what cannot meet its deadline", () => {
    const { queue, started } = createFullQueue(1);
    endOne(queue, started, 1_000);
    started.push(queue.startImmediately(createRequest(), 1_000));
    const states = [1, 2, 3, 4].map(() =>
      queue.offer(createRequest({ nowMs: 1_000 }), 1_000).state
    );
    expect(states).toEqual(["waiting", "waiting", "waiting", "refused"]);
  });

  it("returns jittered retry delays that callers honour", () => {
    const { queue, started } = createFullQueue(1);
    endOne(queue, started, 1_000);
    started.push(queue.startImmediately(createRequest(), 1_000));
    const offered = Array.from(
      { length: 20 },
      () => queue.offer(createRequest({ nowMs: 1_000 }), 1_000),
    );
    const times = offered.flatMap(({ refusal }) => refusal?.retryAfterMs ?? []);
    expect(times.length > 10).toEqual(true);
    expect(times.every((ms) => ms >= 200 && ms <= BUDGET_MS / 3))
      .toEqual(true);
    expect(new Set(times).size > 5).toEqual(true);
  });

  it("refuses a waiting request once it can no longer meet its deadline", () => {
    const { queue } = createFullQueue(2);
    const request = createRequest({ deadlineAtMs: 300 });
    const ticket = queue.offer(request, 10);
    expect(queue.advance(301)).toEqual([ticket]);
    expect(ticket.refusal?.reason).toEqual("time-over");
    expect(queue.demand).toEqual({ inProgress: 3, waiting: 0 });
  });

  // Load: more requests than can start before their callers leave.
  it("refuses a request whose caller leaves before it can start", () => {
    const { queue, started } = createFullQueue(2);
    for (let nowMs = 1_000; nowMs <= 3_000; nowMs += 500) {
      queue.noteCongestion(nowMs);
      endOne(queue, started, nowMs);
      queue.offer(createRequest({ nowMs, deadlineAtMs: 60_000 }), nowMs);
    }
    const nowMs = 3_000;
    const patient = createRequest({ nowMs, deadlineAtMs: 60_000 });
    const impatient = { ...patient, leavesAtMs: nowMs + 100 };
    expect(queue.offer(impatient, nowMs).refusal?.reason).toEqual("no-time");
    expect(queue.offer(patient, nowMs).state).toEqual("waiting");
  });

  it("refuses a waiting request once its caller is about to leave", () => {
    const { queue } = createFullQueue(2);
    const ticket = queue.offer(createRequest({ leavesAtMs: 300 }), 10);
    expect(ticket.state).toEqual("waiting");
    expect(queue.advance(301)).toEqual([ticket]);
    expect(ticket.refusal?.reason).toEqual("time-over");
  });

  it("sends a late request after a second of on-time ones", () => {
    const { queue, started } = createFullQueue(1);
    const late = queue.offer(
      createRequest({ targetAtMs: 1, deadlineAtMs: 2_200 }),
      10,
    );
    let lateAfter = 0;
    for (let nowMs = 20; late.state === "waiting"; nowMs += 20) {
      queue.noteCongestion(nowMs);
      queue.offer(createRequest({ nowMs }), nowMs);
      endOne(queue, started, nowMs);
      lateAfter = nowMs;
    }
    expect(late.state).toEqual("started");
    expect(lateAfter >= 1_000 && lateAfter < 2_200).toEqual(true);
  });

  it("sends a probe request after 500 ms without signals", () => {
    const { queue } = createFullQueue(3);
    const ticket = queue.offer(createRequest({ nowMs: 10 }), 10);
    queue.advance(499);
    expect(ticket.state).toEqual("waiting");
    queue.advance(500);
    expect(ticket.state).toEqual("started");
  });

  it("raises the limit quickly once answers report free slots", () => {
    const { queue, started } = createFullQueue(4);
    for (let index = 0; index < 12; index++) queue.offer(createRequest(), 10);
    for (let index = 0; index < 4; index++) {
      queue.noteFreeSlots(0.5, 20);
      started.push(...queue.advance(20));
    }
    expect(queue.demand.waiting).toEqual(0);
  });

  it("releases all waiting requests when the model has no heads left", () => {
    const state: { occupancy: HeadOccupancy } = { occupancy: "some-full" };
    const queue = new AdmissionQueue({
      tenantTotals: () => undefined,
      headOccupancy: () => state.occupancy,
    });
    queue.startImmediately(createRequest(), 0);
    queue.noteCongestion(0);
    queue.offer(createRequest(), 10);
    queue.offer(createRequest(), 10);
    state.occupancy = "no-heads";
    expect(queue.advance(20).length).toEqual(2);
  });

  // Guards against slots that are leaked or counted twice.
  it("keeps its counts consistent for any sequence of events", () => {
    const step = fc.record({
      kind: fc.constantFrom("offer", "at-once", "end", "congested", "free"),
      tenant: fc.constantFrom("a", "b", "c"),
      pick: fc.nat(50),
      passedMs: fc.nat(300),
    });
    const property = fc.property(
      fc.array(step, { maxLength: 120 }),
      (steps) => {
        const queue = createQueue({ a: 90, b: 10 });
        const tickets: AdmissionTicket[] = [];
        let nowMs = 0;
        for (const { kind, tenant, pick, passedMs } of steps) {
          nowMs += passedMs;
          const request = createRequest({ tenant, nowMs });
          if (kind === "offer") tickets.push(queue.offer(request, nowMs));
          else if (kind === "at-once") {
            tickets.push(queue.startImmediately(request, nowMs));
          } else if (kind === "congested") queue.noteCongestion(nowMs);
          else if (kind === "free") queue.noteFreeSlots(0.3, nowMs);
          else if (tickets.length > 0) {
            const ticket = tickets[pick % tickets.length]!;
            queue.end(ticket, { isServed: pick % 2 === 0 }, nowMs);
          }
          queue.advance(nowMs);
          const count = (state: string) =>
            tickets.filter((ticket) => ticket.state === state).length;
          expect(queue.demand).toEqual({
            inProgress: count("started"),
            waiting: count("waiting"),
          });
          expect(queue.limitAt(nowMs) >= 1).toEqual(true);
          expect(queue.demand.waiting === 0 || queue.demand.inProgress > 0)
            .toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 200 });
  });
});

import { Clock, Deferred, Effect } from "effect";
import { AdmissionRefused } from "./rate_admission.ts";
import { SlotAdmission, type SlotTicket } from "./slot_admission.ts";

/** A call that needs a slot of its service. */
export interface SlotCall {
  readonly service: string;
  readonly organisationName: string;
  readonly weight: number;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly firstTokenDeadlineMs?: number;
}

/** Options of the slots of an entry instance. */
export interface CallSlotsOptions {
  /** Slots of a service at this entry instance; undefined for no limit. */
  readonly slotCountOf: (service: string) => number | undefined;
  readonly maxWaitMs?: number;
}

type Start = Deferred.Deferred<void, AdmissionRefused>;

const DEFAULT_MAX_WAIT_MS = 30_000;
const LATE_RETRY_MS = 1_000;

/** Runs calls in the slots of their services. */
export class CallSlots {
  readonly #options: CallSlotsOptions;
  readonly #services = new Map<string, SlotAdmission>();
  readonly #starts = new Map<SlotTicket, Start>();

  constructor(options: CallSlotsOptions) {
    this.#options = options;
  }

  /** Runs the call when its turn comes; fails at once if it would be late. */
  run<Value, Failure>(
    call: SlotCall,
    running: Effect.Effect<Value, Failure>,
  ): Effect.Effect<Value, Failure | AdmissionRefused> {
    return Effect.suspend(() => {
      if (this.#options.slotCountOf(call.service) === undefined) return running;
      return this.#runInSlot(call, running);
    });
  }

  #runInSlot<Value, Failure>(
    call: SlotCall,
    running: Effect.Effect<Value, Failure>,
  ): Effect.Effect<Value, Failure | AdmissionRefused> {
    const slots = this.#findSlots(call.service);
    return Effect.acquireUseRelease(
      this.#offer(call, slots),
      (ticket) =>
        this.#waitForStart(ticket, slots).pipe(Effect.andThen(running)),
      (ticket) => this.#release(ticket, slots),
    );
  }

  #offer(
    call: SlotCall,
    slots: SlotAdmission,
  ): Effect.Effect<SlotTicket, AdmissionRefused> {
    const { maxWaitMs = DEFAULT_MAX_WAIT_MS } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const usefulMs = call.firstTokenDeadlineMs ?? maxWaitMs;
      const offered = slots.offer({
        ...call,
        deadlineAtMs: call.arrivedAtMs + Math.min(usefulMs, maxWaitMs),
        nowMs,
      });
      const ticket = yield* offered.caseOf<
        Effect.Effect<SlotTicket, AdmissionRefused>
      >({ Left: Effect.fail, Right: Effect.succeed });
      if (ticket.startedAtMs === undefined) {
        this.#starts.set(ticket, Deferred.makeUnsafe());
      }
      return ticket;
    });
  }

  #waitForStart(
    ticket: SlotTicket,
    slots: SlotAdmission,
  ): Effect.Effect<void, AdmissionRefused> {
    return Effect.gen({ self: this }, function* () {
      const start = this.#starts.get(ticket);
      if (start === undefined) return;
      const nowMs = yield* Clock.currentTimeMillis;
      yield* Deferred.await(start).pipe(
        Effect.timeoutOrElse({
          duration: Math.max(0, slots.findLatestStart(ticket) - nowMs),
          orElse: () => Effect.fail(createLateRefusal()),
        }),
      );
    });
  }

  #release(ticket: SlotTicket, slots: SlotAdmission): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      this.#starts.delete(ticket);
      slots.cancel(ticket);
      slots.finish(ticket, { nowMs });
      const next = slots.startNext(nowMs);
      for (const started of next.started) {
        this.#settle(started, Effect.void);
      }
      for (const refused of next.refused) {
        this.#settle(refused, Effect.fail(createLateRefusal()));
      }
    });
  }

  #settle(
    ticket: SlotTicket,
    outcome: Effect.Effect<void, AdmissionRefused>,
  ): void {
    const start = this.#starts.get(ticket);
    if (start !== undefined) Deferred.doneUnsafe(start, outcome);
  }

  #findSlots(service: string): SlotAdmission {
    let slots = this.#services.get(service);
    if (slots === undefined) {
      slots = new SlotAdmission({
        slotCount: () => this.#options.slotCountOf(service) ?? Infinity,
      });
      this.#services.set(service, slots);
    }
    return slots;
  }
}

function createLateRefusal(): AdmissionRefused {
  return new AdmissionRefused({
    reason: "overloaded",
    retryAfterMs: LATE_RETRY_MS,
    message:
      `No slot became free before the deadline; retry after ${LATE_RETRY_MS} ms`,
  });
}

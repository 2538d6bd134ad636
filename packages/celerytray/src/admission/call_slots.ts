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

/** Options of the slots at an entry instance. */
export interface CallSlotsOptions {
  /**
   * Number of slots of a service at this entry instance; undefined for no
   * limit.
   */
  readonly slotCountOf: (service: string) => number | undefined;
  readonly maxWaitMs?: number;
}

type StartSignal = Deferred.Deferred<void, AdmissionRefused>;

const DEFAULT_MAX_WAIT_MS = 30_000;
const LATE_RETRY_AFTER_MS = 1_000;

/** Runs calls in the slots of their services. */
export class CallSlots {
  readonly #options: CallSlotsOptions;
  readonly #services = new Map<string, SlotAdmission>();
  readonly #startSignals = new Map<SlotTicket, StartSignal>();

  constructor(options: CallSlotsOptions) {
    this.#options = options;
  }

  /**
   * Runs the call when it gets a slot. Fails at once if that would be too late.
   */
  run<Value, Failure>(
    call: SlotCall,
    body: Effect.Effect<Value, Failure>,
  ): Effect.Effect<Value, Failure | AdmissionRefused> {
    return Effect.suspend(() => {
      if (this.#options.slotCountOf(call.service) === undefined) return body;
      return this.#runInSlot(call, body);
    });
  }

  #runInSlot<Value, Failure>(
    call: SlotCall,
    body: Effect.Effect<Value, Failure>,
  ): Effect.Effect<Value, Failure | AdmissionRefused> {
    const slots = this.#getSlots(call.service);
    return Effect.acquireUseRelease(
      this.#acquireTicket(call, slots),
      (ticket) => this.#waitForStart(ticket, slots).pipe(Effect.andThen(body)),
      (ticket) => this.#release(ticket, slots),
    );
  }

  #acquireTicket(
    call: SlotCall,
    slots: SlotAdmission,
  ): Effect.Effect<SlotTicket, AdmissionRefused> {
    const { maxWaitMs = DEFAULT_MAX_WAIT_MS } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const deadlineMs = call.firstTokenDeadlineMs ?? maxWaitMs;
      const offered = slots.offer({
        ...call,
        deadlineAtMs: call.arrivedAtMs + Math.min(deadlineMs, maxWaitMs),
        nowMs,
      });
      const ticket = yield* offered.caseOf<
        Effect.Effect<SlotTicket, AdmissionRefused>
      >({ Left: Effect.fail, Right: Effect.succeed });
      if (ticket.startedAtMs === undefined) {
        this.#startSignals.set(ticket, Deferred.makeUnsafe());
      }
      return ticket;
    });
  }

  #waitForStart(
    ticket: SlotTicket,
    slots: SlotAdmission,
  ): Effect.Effect<void, AdmissionRefused> {
    return Effect.gen({ self: this }, function* () {
      const signal = this.#startSignals.get(ticket);
      if (signal === undefined) return;
      const nowMs = yield* Clock.currentTimeMillis;
      yield* Deferred.await(signal).pipe(
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
      this.#startSignals.delete(ticket);
      slots.cancel(ticket);
      slots.finish(ticket, { nowMs });
      const next = slots.startNext(nowMs);
      for (const started of next.started) {
        this.#resolveStart(started, Effect.void);
      }
      for (const refused of next.refused) {
        this.#resolveStart(refused, Effect.fail(createLateRefusal()));
      }
    });
  }

  #resolveStart(
    ticket: SlotTicket,
    outcome: Effect.Effect<void, AdmissionRefused>,
  ): void {
    const signal = this.#startSignals.get(ticket);
    if (signal !== undefined) Deferred.doneUnsafe(signal, outcome);
  }

  #getSlots(service: string): SlotAdmission {
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
    retryAfterMs: LATE_RETRY_AFTER_MS,
    message:
      `No slot became free before the deadline; retry after ${LATE_RETRY_AFTER_MS} ms`,
  });
}

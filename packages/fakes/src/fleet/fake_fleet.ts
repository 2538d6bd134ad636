import {
  type InstanceAddress,
  type InstanceControl,
  type InstanceOrder,
  InstanceSilent,
  type OrderAnswer,
  type OrderOutcome,
  readSteadyMs,
  steadyMs,
} from "celerytray";
import { Clock, Effect } from "effect";
import { Right } from "purify-ts";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type FakeInstanceTimes,
  FakeModelInstance,
  type FakeWork,
} from "./fake_model_instance.ts";

/** Injected faults of a fake fleet. */
export interface FakeFleetFaults {
  /** Fraction of the orders that get no answer and are executed late. */
  readonly lateOrderFraction?: number;
}

export interface FakeFleetOptions {
  readonly seed: number;
  readonly times: FakeInstanceTimes;
  /** Called on each change of an instance, as for the instance list. */
  readonly onChange: (instance: FakeModelInstance) => void;
  /** The requests in progress at an instance; by default there never are any. */
  readonly findWork?: (instanceId: string) => FakeWork;
  /** Whether orders of earlier leaders are refused; by default they are. */
  readonly isFenced?: boolean;
}

const CALL_LATENCY_MS = 2;
const CALL_TIMEOUT_MS = 400;
const MIN_LATE_ORDER_MS = 2_000;
const MAX_LATE_ORDER_MS = 12_000;

/** In-memory model instances that check the invariants of orders. */
export class FakeFleet {
  faults: FakeFleetFaults = {};
  /** Number of joins that instances executed. */
  joinCount = 0;
  /** Violations of the invariants. */
  readonly violations: string[] = [];
  readonly #options: FakeFleetOptions;
  readonly #instances = new Map<string, FakeModelInstance>();
  readonly #generator;
  /** Ids of members that have been ready, by replica and epoch. */
  readonly #readyIds = new Map<string, Set<string>>();

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  addInstance(id: string, domain: string, bornAtMs: number): void {
    const { times, onChange, findWork, isFenced = true } = this.#options;
    const instance = new FakeModelInstance({
      id,
      domain,
      bornAtMs,
      times,
      isFenced,
      ...(findWork === undefined ? {} : { work: findWork(id) }),
    });
    this.#instances.set(id, instance);
    onChange(instance);
  }

  /** Kills an instance; its listed state stays as it was. */
  kill(id: string): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.isAlive = false;
  }

  /** Partitions an instance from all callers, or ends the partition. */
  setReachable(id: string, isReachable: boolean): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.isReachable = isReachable;
  }

  /** Marks an instance as draining; it keeps running. */
  drain(id: string): void {
    const instance = this.#instances.get(id);
    if (instance === undefined) return;
    instance.isDraining = true;
    this.#options.onChange(instance);
  }

  /** Sets the factor on the duration of an instance's work. */
  setPace(id: string, pace: number): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.pace = pace;
  }

  list(): readonly FakeModelInstance[] {
    return [...this.#instances.values()];
  }

  /** Open heads whose members are all reachable and in the replica. */
  listServingHeads(): readonly FakeModelInstance[] {
    return this.list().filter((head) => {
      const { membership } = head;
      return head.isAlive && head.isReachable &&
        membership?.state === "open" &&
        membership.members[0] === head.id &&
        membership.members.every((id) =>
          this.#isMemberOf(id, membership.replica)
        );
    });
  }

  /** Serving heads with a slow member. */
  listSlowHeads(): readonly FakeModelInstance[] {
    return this.listServingHeads().filter(({ membership }) =>
      membership!.members.some((id) => this.#instances.get(id)!.pace > 1)
    );
  }

  /** Advances all instances to a time. */
  advance(nowMs: number): void {
    for (const instance of this.#instances.values()) {
      if (!instance.isAlive || !instance.advance(nowMs)) continue;
      const { membership } = instance;
      if (membership?.state === "ready") this.#recordReady(instance);
      this.#options.onChange(instance);
    }
  }

  /** Control client of one process, with the injected faults. */
  createControl(
    findPartition: () => "refused" | "unreachable" | undefined = () =>
      undefined,
    isUnreached: (instanceId: string) => boolean = () => false,
  ): InstanceControl {
    const isCut = (id: string) =>
      findPartition() !== undefined || isUnreached(id);
    const fail = (id: string) =>
      findPartition() === "refused"
        ? Effect.andThen(
          Effect.sleep(CALL_LATENCY_MS),
          failUnresponsive(id, "refused"),
        )
        : Effect.andThen(Effect.sleep(CALL_TIMEOUT_MS), failUnresponsive(id));
    return {
      sendOrder: (address, order) =>
        Effect.suspend(() =>
          isCut(address.id) ? fail(address.id) : this.#sendOrder(address, order)
        ),
      probe: ({ id }) =>
        Effect.suspend(() =>
          this.#isReachable(id) && !isCut(id)
            ? Effect.as(Effect.sleep(CALL_LATENCY_MS), {
              pace: Right(this.#instances.get(id)!.pace),
              isLeaving: this.#instances.get(id)!.isLeaving,
            })
            : fail(id)
        ),
    };
  }

  #sendOrder(
    { id }: InstanceAddress,
    order: InstanceOrder & { readonly fence: number },
  ): Effect.Effect<OrderAnswer, InstanceSilent> {
    return Effect.gen({ self: this }, function* () {
      const clock = yield* Clock.Clock;
      const applyOrder = () => this.#applyOrder(id, order, readSteadyMs(clock));
      if (this.#random() < (this.faults.lateOrderFraction ?? 0)) {
        const lateMs = MIN_LATE_ORDER_MS +
          this.#random() * (MAX_LATE_ORDER_MS - MIN_LATE_ORDER_MS);
        yield* Effect.forkDetach(
          Effect.andThen(Effect.sleep(lateMs), Effect.sync(applyOrder)),
        );
        yield* Effect.sleep(CALL_TIMEOUT_MS);
        return yield* failUnresponsive(id);
      }
      yield* Effect.sleep(CALL_LATENCY_MS);
      const outcome = applyOrder();
      if (outcome === undefined) {
        yield* Effect.sleep(CALL_TIMEOUT_MS);
        return yield* failUnresponsive(id);
      }
      return { outcome, isLeaving: this.#instances.get(id)!.isLeaving };
    });
  }

  #applyOrder(
    id: string,
    order: InstanceOrder & { readonly fence: number },
    nowMs: number,
  ): OrderOutcome | undefined {
    const instance = this.#instances.get(id);
    if (instance === undefined || !this.#isReachable(id)) return undefined;
    const before = instance.membership;
    const outcome = instance.applyOrder(order, nowMs);
    const after = instance.membership;
    if (order.kind === "join" && after !== before) this.joinCount += 1;
    if (order.kind === "join" && after !== before && before !== undefined) {
      this.#checkJoin(id, order.replica, before);
    }
    if (order.kind === "open" && outcome === "begun") this.#checkOpen(instance);
    this.#options.onChange(instance);
    return outcome;
  }

  /** A member may join another replica only if its own is not open. */
  #checkJoin(
    id: string,
    replica: string,
    before: NonNullable<FakeModelInstance["membership"]>,
  ): void {
    const headId = before.members[0]!;
    if (headId === id) {
      if (before.state === "open" || before.state === "closing") {
        this.violations.push(`${id} joined ${replica} as an open head`);
      }
      return;
    }
    const head = this.#instances.get(headId);
    const isOpen = head?.isAlive === true &&
      head.membership?.replica === before.replica &&
      (head.membership.state === "open" ||
        head.membership.state === "closing");
    if (isOpen) {
      this.violations.push(
        `${id} joined ${replica} while ${before.replica} was open`,
      );
    }
  }

  #checkOpen(head: FakeModelInstance): void {
    const { replica, epoch, members } = head.membership!;
    const ready = this.#readyIds.get(`${replica} ${epoch}`) ?? new Set();
    for (const id of members) {
      if (!ready.has(id)) {
        this.violations.push(`${replica} opened before ${id} was ready`);
      }
    }
  }

  #isReachable(id: string): boolean {
    const instance = this.#instances.get(id);
    return instance?.isAlive === true && instance.isReachable;
  }

  #recordReady({ id, membership }: FakeModelInstance): void {
    const key = `${membership!.replica} ${membership!.epoch}`;
    const ready = this.#readyIds.get(key) ?? new Set<string>();
    ready.add(id);
    this.#readyIds.set(key, ready);
  }

  #isMemberOf(id: string, replica: string): boolean {
    const instance = this.#instances.get(id);
    return this.#isReachable(id) &&
      instance?.membership?.replica === replica;
  }

  /** Random number from 0 to below 1. */
  #random(): number {
    return uniformInt(this.#generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
  }
}

const RANDOM_RANGE = 2 ** 30;

function failUnresponsive(
  id: string,
  reason: "refused" | "unreachable" = "unreachable",
): Effect.Effect<never, InstanceSilent> {
  return Effect.fail(
    new InstanceSilent({
      reason,
      message: `${id} did not answer`,
    }),
  );
}

/** Advances a fleet until it is interrupted. */
export function runFakeFleet(fleet: FakeFleet): Effect.Effect<never> {
  return Effect.forever(
    Effect.flatMap(
      steadyMs,
      (nowMs) => Effect.sync(() => fleet.advance(nowMs)),
    ).pipe(Effect.andThen(Effect.sleep(STEP_MS))),
  );
}

const STEP_MS = 10;

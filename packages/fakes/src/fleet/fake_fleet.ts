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
} from "./fake_model_instance.ts";

/** Faults of a stand-in's fleet. */
export interface FakeFleetFaults {
  /** Share of the orders that get no answer and are carried out late. */
  readonly lateShare?: number;
}

/** Options of a stand-in's fleet. */
export interface FakeFleetOptions {
  readonly seed: number;
  readonly times: FakeInstanceTimes;
  /** Told of each change of an instance, as the list is. */
  readonly onChange: (instance: FakeModelInstance) => void;
}

const CALL_MS = 2;
const SILENCE_MS = 400;
const MIN_LATE_MS = 2_000;
const MAX_LATE_MS = 12_000;

/** Model instances in memory that check what orders do to each other. */
export class FakeFleet {
  faults: FakeFleetFaults = {};
  /** Joins that instances took. */
  joins = 0;
  /** What orders broke. */
  readonly violations: string[] = [];
  readonly #options: FakeFleetOptions;
  readonly #instances = new Map<string, FakeModelInstance>();
  readonly #generator;
  /** Members that were ready, by replica and epoch. */
  readonly #readyIds = new Map<string, Set<string>>();

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  /** Adds an instance. */
  start(id: string, domain: string, bornAtMs: number): void {
    const { times, onChange } = this.#options;
    const instance = new FakeModelInstance({ id, domain, bornAtMs, times });
    this.#instances.set(id, instance);
    onChange(instance);
  }

  /** Ends an instance without a status. */
  kill(id: string): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.isAlive = false;
  }

  /** Parts an instance from all that would reach it, or joins it again. */
  setReachable(id: string, isReachable: boolean): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.isReachable = isReachable;
  }

  /** Lets an instance say that it is about to leave; it works on. */
  drain(id: string): void {
    const instance = this.#instances.get(id);
    if (instance === undefined) return;
    instance.isDraining = true;
    this.#options.onChange(instance);
  }

  /** Makes an instance's work take so many times as long as usual. */
  setPace(id: string, pace: number): void {
    const instance = this.#instances.get(id);
    if (instance !== undefined) instance.pace = pace;
  }

  list(): readonly FakeModelInstance[] {
    return [...this.#instances.values()];
  }

  /** Heads that are open with all members present. */
  listServing(): readonly FakeModelInstance[] {
    return this.list().filter((head) => {
      const { membership } = head;
      return head.isAlive && head.isReachable &&
        membership?.state === "open" &&
        membership.members[0] === head.id &&
        membership.members.every((id) => this.#isIn(id, membership.replica));
    });
  }

  /** Heads that are open with a slow member. */
  listSlow(): readonly FakeModelInstance[] {
    return this.listServing().filter(({ membership }) =>
      membership!.members.some((id) => this.#instances.get(id)!.pace > 1)
    );
  }

  /** Lets the instances' time pass. */
  advance(nowMs: number): void {
    for (const instance of this.#instances.values()) {
      if (!instance.isAlive || !instance.advance(nowMs)) continue;
      const { membership } = instance;
      if (membership?.state === "ready") this.#noteReady(instance);
      this.#options.onChange(instance);
    }
  }

  /** The orders of one process, with the fleet's faults. */
  createControl(): InstanceControl {
    return {
      sendOrder: (address, order) => this.#sendOrder(address, order),
      probe: ({ id }) =>
        Effect.suspend(() =>
          this.#isReachable(id)
            ? Effect.as(Effect.sleep(CALL_MS), {
              pace: Right(this.#instances.get(id)!.pace),
              isLeaving: this.#instances.get(id)!.isLeaving,
            })
            : Effect.andThen(Effect.sleep(SILENCE_MS), silence(id))
        ),
    };
  }

  #sendOrder(
    { id }: InstanceAddress,
    order: InstanceOrder & { readonly fence: number },
  ): Effect.Effect<OrderAnswer, InstanceSilent> {
    return Effect.gen({ self: this }, function* () {
      const clock = yield* Clock.Clock;
      const carryOut = () => this.#carryOut(id, order, readSteadyMs(clock));
      if (this.#draw() < (this.faults.lateShare ?? 0)) {
        const lateMs = MIN_LATE_MS +
          this.#draw() * (MAX_LATE_MS - MIN_LATE_MS);
        yield* Effect.forkDetach(
          Effect.andThen(Effect.sleep(lateMs), Effect.sync(carryOut)),
        );
        yield* Effect.sleep(SILENCE_MS);
        return yield* silence(id);
      }
      yield* Effect.sleep(CALL_MS);
      const outcome = carryOut();
      if (outcome === undefined) {
        yield* Effect.sleep(SILENCE_MS);
        return yield* silence(id);
      }
      return { outcome, isLeaving: this.#instances.get(id)!.isLeaving };
    });
  }

  #carryOut(
    id: string,
    order: InstanceOrder & { readonly fence: number },
    nowMs: number,
  ): OrderOutcome | undefined {
    const instance = this.#instances.get(id);
    if (instance === undefined || !this.#isReachable(id)) return undefined;
    const before = instance.membership;
    const outcome = instance.applyOrder(order, nowMs);
    const after = instance.membership;
    if (order.kind === "join" && after !== before) this.joins += 1;
    if (order.kind === "join" && after !== before && before !== undefined) {
      this.#checkJoin(id, order.replica, before);
    }
    if (order.kind === "open" && outcome === "begun") this.#checkOpen(instance);
    this.#options.onChange(instance);
    return outcome;
  }

  /** A member may only join another replica once the head of its own is not open. */
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

  #noteReady({ id, membership }: FakeModelInstance): void {
    const key = `${membership!.replica} ${membership!.epoch}`;
    const ready = this.#readyIds.get(key) ?? new Set<string>();
    ready.add(id);
    this.#readyIds.set(key, ready);
  }

  #isIn(id: string, replica: string): boolean {
    const instance = this.#instances.get(id);
    return this.#isReachable(id) &&
      instance?.membership?.replica === replica;
  }

  /** 0 to 1. */
  #draw(): number {
    return uniformInt(this.#generator, 0, DRAWS - 1) / DRAWS;
  }
}

const DRAWS = 2 ** 30;

function silence(id: string): Effect.Effect<never, InstanceSilent> {
  return Effect.fail(
    new InstanceSilent({ isRefused: false, message: `${id} is silent` }),
  );
}

/** Lets a fleet's time pass until the scope closes. */
export function runFakeFleet(fleet: FakeFleet): Effect.Effect<never> {
  return Effect.forever(
    Effect.flatMap(
      steadyMs,
      (nowMs) => Effect.sync(() => fleet.advance(nowMs)),
    ).pipe(Effect.andThen(Effect.sleep(STEP_MS))),
  );
}

const STEP_MS = 10;

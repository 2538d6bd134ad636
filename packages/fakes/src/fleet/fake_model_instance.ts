import type {
  InstanceOrder,
  InstanceState,
  OrderOutcome,
  ReplicaMembership,
} from "celerytray";

/** Durations of the state changes of a fake instance. */
export interface FakeInstanceTimes {
  /** Join with the weights still in memory. */
  readonly hotJoinMs: number;
  /** Join with the weights staged on the host. */
  readonly warmJoinMs: number;
  /** Join without the weights. */
  readonly loadMs: number;
  readonly closeMs: number;
}

/** A member's view of its replica. */
export interface FakeMembership {
  readonly replica: string;
  readonly epoch: number;
  readonly model: string;
  readonly members: readonly string[];
  state: ReplicaMembership["state"];
  /** Time at which the present state ends. */
  changesAtMs: number;
}

/** The requests in progress at a fake instance. */
export interface FakeWork {
  readonly isUnderWay: () => boolean;
  /** Breaks off all requests in progress. */
  readonly breakOff: () => void;
}

const NO_WORK: FakeWork = { isUnderWay: () => false, breakOff: () => {} };

/** A fake model instance that executes orders; its caller passes the time. */
export class FakeModelInstance {
  readonly id: string;
  readonly domain: string;
  readonly bornAtMs: number;
  isAlive = true;
  /** Whether calls reach it; it keeps running if they don't. */
  isReachable = true;
  /** Whether its listed state says that it drains. */
  isDraining = false;
  /** Whether its answers say that it is leaving. */
  isLeaving = false;
  /** Factor on the duration of its work; above 1 it is slow. */
  pace = 1;
  staged: string[] = [];
  membership: FakeMembership | undefined;
  readonly #times: FakeInstanceTimes;
  readonly #work: FakeWork;
  readonly #isFenced: boolean;
  #lastModel: string | undefined;
  #highestEpoch = -1;
  #highestFence = -1;

  constructor(options: {
    readonly id: string;
    readonly domain: string;
    readonly bornAtMs: number;
    readonly times: FakeInstanceTimes;
    /** By default there never are any requests. */
    readonly work?: FakeWork;
    /** Whether orders of earlier leaders are refused; by default they are. */
    readonly isFenced?: boolean;
  }) {
    this.id = options.id;
    this.domain = options.domain;
    this.bornAtMs = options.bornAtMs;
    this.#times = options.times;
    this.#work = options.work ?? NO_WORK;
    this.#isFenced = options.isFenced ?? true;
  }

  /** Advances to a time; returns whether the state changed. */
  advance(nowMs: number): boolean {
    const { membership } = this;
    if (membership === undefined || nowMs < membership.changesAtMs) {
      return false;
    }
    const next = NEXT_STATES[membership.state];
    if (next === undefined) return false;
    if (membership.state === "closing" && this.#work.isUnderWay()) return false;
    if (membership.state === "joining") {
      this.#lastModel = membership.model;
      if (!this.staged.includes(membership.model)) {
        this.staged = [membership.model];
      }
    }
    membership.state = next;
    membership.changesAtMs = Number.POSITIVE_INFINITY;
    return true;
  }

  /** Executes an order and returns its outcome. */
  applyOrder(
    order: InstanceOrder & { readonly fence: number },
    nowMs: number,
  ): OrderOutcome {
    if (this.#isFenced && order.fence < this.#highestFence) return "outdated";
    this.#highestFence = order.fence;
    if (order.kind === "join") return this.#join(order, nowMs);
    if (order.kind === "stage") {
      if (this.staged.includes(order.model)) return "holds";
      this.staged = [order.model];
      return "begun";
    }
    const { membership } = this;
    const isOwn = membership?.replica === order.replica &&
      membership.epoch === order.epoch;
    if (!isOwn || membership === undefined) {
      return order.kind === "leave" ? "holds" : "unfit";
    }
    if (order.kind === "leave") {
      this.membership = undefined;
      return "holds";
    }
    const isHead = membership.members[0] === this.id;
    const { state } = membership;
    if (order.kind === "open") {
      if (state === "open") return "holds";
      if (state !== "ready" || !isHead) return "unfit";
      membership.state = "open";
      membership.changesAtMs = Number.POSITIVE_INFINITY;
      return "begun";
    }
    if (state === "ready") return "holds";
    if (state !== "closing" && state !== "open") return "unfit";
    if (order.kind === "close" && order.isImmediate) this.#work.breakOff();
    if (state === "closing") return "begun";
    membership.state = "closing";
    membership.changesAtMs = nowMs + this.#times.closeMs;
    return "begun";
  }

  /** Its state as the instance list publishes it. */
  toInstanceState(): InstanceState {
    const { membership } = this;
    const isLoaded = membership !== undefined && membership.state !== "joining";
    return {
      id: this.id,
      service: "drafts",
      address: `${this.id}:1`,
      zone: `zone-${this.domain}`,
      slots: 8,
      isDraining: this.isDraining,
      bornAtMs: this.bornAtMs,
      domain: this.domain,
      stagedModels: this.staged,
      ...(isLoaded ? { loadedModel: membership.model } : {}),
      ...(membership === undefined ? {} : {
        membership: {
          replica: membership.replica,
          epoch: membership.epoch,
          rank: membership.members.indexOf(this.id),
          state: membership.state,
        },
      }),
    };
  }

  #join(
    order: InstanceOrder & { readonly kind: "join" },
    nowMs: number,
  ): OrderOutcome {
    const { membership } = this;
    const isSame = membership?.replica === order.replica &&
      membership.epoch === order.epoch;
    if (isSame && membership !== undefined) {
      return membership.members.join() === order.members.join()
        ? "holds"
        : "outdated";
    }
    if (order.epoch < this.#highestEpoch) return "outdated";
    this.#highestEpoch = order.epoch;
    const { replica, epoch, model, members } = order;
    const joinMs = this.#lastModel === model
      ? this.#times.hotJoinMs
      : this.staged.includes(model)
      ? this.#times.warmJoinMs
      : this.#times.loadMs;
    this.membership = {
      replica,
      epoch,
      model,
      members,
      state: "joining",
      changesAtMs: nowMs + joinMs,
    };
    return "begun";
  }
}

const NEXT_STATES: Partial<
  Record<ReplicaMembership["state"], ReplicaMembership["state"]>
> = {
  joining: "ready",
  closing: "ready",
};

import type { RecordEvent } from "../journal/index.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";
import { findLoss, isHeadLost } from "./member_loss.ts";
import {
  findMemberState,
  type ReplicaRun,
  type Retirement,
  type RunOrderInput,
} from "./replica_progress.ts";

/** An order to send now, and its instance. */
export interface DueOrder {
  readonly instanceId: string;
  readonly order: InstanceOrder;
}

/** Time within which a head that is to close takes no further requests. */
const CLOSING_LAG_MS = 1_000;

/**
 * Whether no request at a head that has been closing since a time can have time
 * left.
 */
export function isCloseOverdue(
  { sinceMs, longestCallMs, nowMs }: {
    readonly sinceMs: number;
    /** Longest time for which a request at the head may run. */
    readonly longestCallMs: number;
    readonly nowMs: number;
  },
): boolean {
  return nowMs - sinceMs >= longestCallMs + CLOSING_LAG_MS;
}

/** Updates a replica's progress from the list; returns the orders due now. */
export function planRunOrders(input: RunOrderInput): readonly DueOrder[] {
  noteMemberStates(input);
  const { run } = input;
  if (isRevoked(input)) delete run.retirement;
  run.retirement ??= findRetirement(input);
  return run.retirement === undefined
    ? planFormingOrders(input)
    : planRetirementOrders(input, run.retirement);
}

function noteMemberStates({ run, findInstance }: RunOrderInput): void {
  for (const id of run.record.members) {
    const state = findMemberState(run, findInstance(id));
    if (state === undefined) continue;
    run.joinedIds.add(id);
    if (state !== "joining") run.readyIds.add(id);
    if (state === "open" || state === "closing") run.mayBeOpen = true;
  }
}

function findRetirement(input: RunOrderInput): Retirement | undefined {
  const { run, findInstance, nowMs } = input;
  for (const id of run.record.members) {
    const loss = findLoss(input, id);
    if (loss !== undefined) {
      return createRetirement(loss.reason, {
        nowMs,
        isImmediate: !loss.mayWork,
        isRevocable: loss.mayWork,
      });
    }
  }
  const movedId = run.record.members.find((id) =>
    isInLaterReplica(run, findInstance(id))
  );
  if (movedId !== undefined) {
    return createRetirement(`${movedId} is in a later replica`, {
      nowMs,
      isImmediate: true,
    });
  }
  const head = findMemberState(run, findInstance(run.record.members[0]!));
  if (head === "broken") {
    return createRetirement("the head is broken", { nowMs, isImmediate: true });
  }
  const leaving = describeDeparture(input);
  return leaving === undefined
    ? undefined
    : createRetirement(leaving, { nowMs, isImmediate: false });
}

/**
 * Whether an instance has joined a replica that was recorded later. An instance
 * does so only once its earlier replica was retired, so a record that still
 * names it comes from an older copy of the store.
 */
function isInLaterReplica(
  { record }: ReplicaRun,
  instance: InstanceState | undefined,
): boolean {
  const membership = instance?.membership;
  return membership !== undefined && membership.replica !== record.name &&
    membership.epoch > record.epoch;
}

/**
 * Describes the member whose departure requires the retirement now, if any. A
 * draining member other than the head keeps working for the drain time, and the
 * replica serves meanwhile, since only its head takes requests.
 */
function describeDeparture(input: RunOrderInput): string | undefined {
  const { run, findInstance, nowMs } = input;
  const [headId, ...others] = run.record.members;
  const isDraining = (id: string) => findInstance(id)?.isDraining === true;
  if (!input.isListed(headId!)) return `${headId} is no longer listed`;
  if (isDraining(headId!)) return `${headId} is draining`;
  const drainingId = others.find(isDraining);
  if (drainingId === undefined) return undefined;
  run.drainingSinceMs ??= nowMs;
  const isServing = findMemberState(run, findInstance(headId!)) === "open";
  const isDue = !isServing ||
    nowMs - run.drainingSinceMs >= input.drainMs ||
    input.liveness(drainingId).kind === "ended";
  return isDue ? `${drainingId} is draining` : undefined;
}

/** Whether a member answers again that was lost, and nobody has left. */
function isRevoked(input: RunOrderInput): boolean {
  const { retirement, leftIds, record } = input.run;
  // An order that interrupts may still be carried out, later.
  return retirement?.isRevocable === true && !retirement.isImmediate &&
    !retirement.isClosed && !retirement.isComplete && leftIds.size === 0 &&
    record.members.every((id) =>
      input.liveness(id).kind === "alive" && findLoss(input, id) === undefined
    );
}

function createRetirement(
  reason: string,
  options: {
    readonly nowMs: number;
    readonly isImmediate: boolean;
    readonly isRevocable?: boolean;
  },
): Retirement {
  return {
    reason,
    sinceMs: options.nowMs,
    isRevocable: options.isRevocable === true,
    isImmediate: options.isImmediate,
    hasBegunClosing: false,
    isClosed: false,
    hasHeadLeft: false,
    isComplete: false,
  };
}

/** Starts the graceful retirement of a replica and records the event. */
export function retireReplica(
  run: ReplicaRun,
  { reason, nowMs, record }: {
    readonly reason: string;
    readonly nowMs: number;
    readonly record: RecordEvent;
  },
): void {
  run.retirement = createRetirement(reason, { nowMs, isImmediate: false });
  recordRetiring(run, record);
}

/** Records the event that a replica is retiring, with the reason. */
export function recordRetiring(
  { record: { name: replica, model }, retirement }: ReplicaRun,
  record: RecordEvent,
): void {
  record("replica.retiring", { replica, model, reason: retirement?.reason });
}

function planFormingOrders(
  { run, findInstance }: RunOrderInput,
): readonly DueOrder[] {
  const { name: replica, epoch, model, members } = run.record;
  const orders: DueOrder[] = members
    .filter((id) => !run.joinedIds.has(id))
    .map((instanceId) => ({
      instanceId,
      order: { kind: "join", replica, epoch, model, members },
    }));
  if (orders.length > 0) return orders;
  const headId = members[0]!;
  const headState = findMemberState(run, findInstance(headId));
  const areReady = members.every((id) => run.readyIds.has(id));
  if (!areReady || headState !== "ready") return [];
  return [{ instanceId: headId, order: { kind: "open", replica, epoch } }];
}

function planRetirementOrders(
  input: RunOrderInput,
  retirement: Retirement,
): readonly DueOrder[] {
  const { run, findInstance, longestCallMs, nowMs } = input;
  if (retirement.isComplete) return [];
  const { name: replica, epoch, members } = run.record;
  const headId = members[0]!;
  if (isHeadLost(input)) return planWithoutHead(input, retirement);
  const head = findInstance(headId);
  const state = findMemberState(run, head);
  if (head !== undefined && state === undefined && run.joinedIds.has(headId)) {
    retirement.hasHeadLeft = true;
    retirement.isComplete = true;
    return [];
  }
  const hasClosed = retirement.hasBegunClosing && state === "ready";
  if (!run.mayBeOpen || hasClosed || state === "broken") {
    retirement.isClosed = true;
  }
  if (!retirement.isClosed) {
    const { sinceMs } = retirement;
    const isOverdue = isCloseOverdue({ sinceMs, longestCallMs, nowMs });
    const isLost = members.some((id) => findLoss(input, id)?.mayWork === false);
    retirement.isImmediate ||= isOverdue || isLost;
    const { isImmediate } = retirement;
    return [{
      instanceId: headId,
      order: { kind: "close", replica, epoch, isImmediate },
    }];
  }
  return [{ instanceId: headId, order: { kind: "leave", replica, epoch } }];
}

/**
 * Plans leave orders for the other members. An unreachable head may still be
 * open, so each member must leave the replica before it can join another one.
 */
function planWithoutHead(
  { run, liveness }: RunOrderInput,
  retirement: Retirement,
): readonly DueOrder[] {
  const { name: replica, epoch, members } = run.record;
  const remaining = members.slice(1).filter((id) =>
    !run.leftIds.has(id) && liveness(id).kind === "alive"
  );
  if (remaining.length === 0) retirement.isComplete = true;
  return remaining.map((instanceId) => ({
    instanceId,
    order: { kind: "leave", replica, epoch },
  }));
}

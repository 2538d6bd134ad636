import type { RecordEvent } from "../journal/index.ts";
import type { InstanceOrder } from "./instance_orders.ts";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** How a replica stands, as far as its leader knows. */
export interface ReplicaRun {
  readonly record: ReplicaRecord;
  /** Members whose join was answered. */
  readonly joinedIds: Set<string>;
  /** Members that were seen ready in this replica. */
  readonly readyIds: Set<string>;
  /** Members that have left it. */
  readonly leftIds: Set<string>;
  /** Whether the head may have been told to open. */
  mayBeOpen: boolean;
  /** Time at which a member other than the head was first seen to drain. */
  drainingSinceMs?: number;
  /** Why it is taken apart; undefined while it is to serve. */
  retiring?: Retirement;
}

/** Taking a replica apart. */
export interface Retirement {
  readonly reason: string;
  readonly sinceMs: number;
  /** Whether its requests can't go on and are cut off. */
  isImmediate: boolean;
  /** Whether the head answered that it is closing. */
  hasBegunClosing: boolean;
  isClosed: boolean;
  /** Whether the head has left, so that nothing is open any more. */
  hasHeadLeft: boolean;
  /** Whether nothing is left to be ordered. */
  isFreed: boolean;
}

/** What is known of an instance beside its entry in the list. */
export type Liveness =
  | { readonly kind: "alive" }
  /** It doesn't answer. */
  | { readonly kind: "silent" }
  /** Its process is surely gone. */
  | { readonly kind: "ended" };

/** What the next orders of a replica are decided by. */
export interface RunInput {
  readonly run: ReplicaRun;
  /** Last known state of an instance. */
  readonly findInstance: (id: string) => InstanceState | undefined;
  /** Whether the list has the instance now. */
  readonly isListed: (id: string) => boolean;
  readonly liveness: (id: string) => Liveness;
  /** Time for which an instance that drains works on at least. */
  readonly drainMs: number;
  readonly nowMs: number;
}

/** An order that is due. */
export interface DueOrder {
  readonly instanceId: string;
  readonly order: InstanceOrder;
}

/** Time after which a gentle closing becomes an immediate one. */
const GENTLE_CLOSE_MS = 2_500;

/** Takes note of what the list says, and returns the orders that are due. */
export function planRun(input: RunInput): readonly DueOrder[] {
  noteStates(input);
  const { run } = input;
  run.retiring ??= findRetirement(input);
  return run.retiring === undefined
    ? planForming(input)
    : planRetiring(input, run.retiring);
}

/** Where a member stands in its replica, as the list says. */
export function findMemberState(
  run: ReplicaRun,
  instance: InstanceState | undefined,
): MembershipState | undefined {
  const membership = instance?.membership;
  const isSame = membership !== undefined &&
    membership.replica === run.record.name &&
    membership.epoch === run.record.epoch;
  return isSame ? membership.state : undefined;
}

function noteStates({ run, findInstance }: RunInput): void {
  for (const id of run.record.members) {
    const state = findMemberState(run, findInstance(id));
    if (state === undefined) continue;
    run.joinedIds.add(id);
    if (state !== "joining") run.readyIds.add(id);
    if (state === "open") run.mayBeOpen = true;
  }
}

function findRetirement(input: RunInput): Retirement | undefined {
  const { run, findInstance, nowMs } = input;
  for (const id of run.record.members) {
    const lost = describeLoss(input, id);
    if (lost !== undefined) {
      return createRetirement(lost, { nowMs, isImmediate: true });
    }
  }
  const head = findMemberState(run, findInstance(run.record.members[0]!));
  if (head === "broken") {
    return createRetirement("the head is broken", { nowMs, isImmediate: true });
  }
  const leaving = describeLeaving(input);
  return leaving === undefined
    ? undefined
    : createRetirement(leaving, { nowMs, isImmediate: false });
}

/**
 * Which member's leaving is to be answered now. Members that drain work on for
 * a time, in which the replica serves; only its head takes requests.
 */
function describeLeaving(input: RunInput): string | undefined {
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

/** Why a member can't work any more. */
function describeLoss(input: RunInput, id: string): string | undefined {
  const { run, findInstance, liveness } = input;
  const kind = liveness(id).kind;
  if (kind === "silent") return `${id} is silent`;
  const instance = findInstance(id);
  // One that drains refuses connections while it still works for its head.
  if (kind === "ended" && instance?.isDraining !== true) {
    return `${id} has ended`;
  }
  if (instance === undefined) return undefined;
  return isBornAnew(run, instance) ? `${id} was started anew` : undefined;
}

/** Begins to take a replica apart. */
function createRetirement(
  reason: string,
  options: { readonly nowMs: number; readonly isImmediate: boolean },
): Retirement {
  return {
    reason,
    sinceMs: options.nowMs,
    isImmediate: options.isImmediate,
    hasBegunClosing: false,
    isClosed: false,
    hasHeadLeft: false,
    isFreed: false,
  };
}

/** Begins to take a replica apart gently, with a line. */
export function retireReplica(
  run: ReplicaRun,
  { reason, nowMs, record }: {
    readonly reason: string;
    readonly nowMs: number;
    readonly record: RecordEvent;
  },
): void {
  run.retiring = createRetirement(reason, { nowMs, isImmediate: false });
  recordRetiring(run, record);
}

/** Writes that a replica is taken apart, and why. */
export function recordRetiring(
  { record: { name: replica, model }, retiring }: ReplicaRun,
  record: RecordEvent,
): void {
  record("replica.retiring", { replica, model, reason: retiring?.reason });
}

function planForming({ run, findInstance }: RunInput): readonly DueOrder[] {
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

function planRetiring(
  input: RunInput,
  retiring: Retirement,
): readonly DueOrder[] {
  const { run, findInstance, nowMs } = input;
  if (retiring.isFreed) return [];
  const { name: replica, epoch, members } = run.record;
  const headId = members[0]!;
  if (isHeadLost(input)) return planWithoutHead(input, retiring);
  const head = findInstance(headId);
  const state = findMemberState(run, head);
  if (head !== undefined && state === undefined && run.joinedIds.has(headId)) {
    retiring.hasHeadLeft = true;
    retiring.isFreed = true;
    return [];
  }
  const hasClosed = retiring.hasBegunClosing && state === "ready";
  if (!run.mayBeOpen || hasClosed || state === "broken") {
    retiring.isClosed = true;
  }
  if (!retiring.isClosed) {
    const isLate = nowMs - retiring.sinceMs >= GENTLE_CLOSE_MS;
    const isLost = members.some((id) => describeLoss(input, id) !== undefined);
    retiring.isImmediate ||= isLate || isLost;
    const { isImmediate } = retiring;
    return [{
      instanceId: headId,
      order: { kind: "close", replica, epoch, isImmediate },
    }];
  }
  return [{ instanceId: headId, order: { kind: "leave", replica, epoch } }];
}

/**
 * A head that can't be reached may still be open, so each other member leaves
 * its replica before it may be used elsewhere.
 */
function planWithoutHead(
  { run, liveness }: RunInput,
  retiring: Retirement,
): readonly DueOrder[] {
  const { name: replica, epoch, members } = run.record;
  const staying = members.slice(1).filter((id) =>
    !run.leftIds.has(id) && liveness(id).kind === "alive"
  );
  if (staying.length === 0) retiring.isFreed = true;
  return staying.map((instanceId) => ({
    instanceId,
    order: { kind: "leave", replica, epoch },
  }));
}

/** Whether the head can't be reached, or was started anew. */
function isHeadLost({ run, findInstance, liveness }: RunInput): boolean {
  const headId = run.record.members[0]!;
  if (liveness(headId).kind !== "alive") return true;
  const head = findInstance(headId);
  return head !== undefined && isBornAnew(run, head);
}

/** Whether an instance began another incarnation since the replica was decided. */
function isBornAnew(run: ReplicaRun, instance: InstanceState): boolean {
  const bornAtMs = run.record.incarnations[instance.id]?.bornAtMs;
  return bornAtMs !== undefined && instance.bornAtMs !== bornAtMs;
}

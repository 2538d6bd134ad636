import type {
  DissolveRecord,
  FormRecord,
  ReplaceRecord,
} from "@celerytray/schema";
import { HashMap, Option } from "effect";
import type { LogEntry } from "../log/index.ts";

/** A replica formed by a log record. */
export interface Replica {
  /** Derived from service and slot; the same for each formation of the slot. */
  readonly replicaId: string;
  readonly service: string;
  readonly slot: number;
  /** Log offset of the record that formed it; increases with each formation. */
  readonly fencingNumber: number;
  /** Instance identifiers by rank; the first is the head. */
  readonly members: readonly string[];
  /** Unix time by the log service's clock. */
  readonly formedAtMs: number;
}

/** All replicas according to the log. */
export interface FleetState {
  /** Log offset of the last record folded; -1 before the first. */
  readonly offset: number;
  readonly replicas: HashMap.HashMap<string, Replica>;
  /** Identifier of the replica that each instance belongs to. */
  readonly replicaIdByMember: HashMap.HashMap<string, string>;
}

/** The state before any record. */
export function emptyFleetState(): FleetState {
  return {
    offset: -1,
    replicas: HashMap.empty(),
    replicaIdByMember: HashMap.empty(),
  };
}

/** Identifier of the replica of a service's slot. */
export function createReplicaId(service: string, slot: number): string {
  return `${service}/${slot}`;
}

/**
 * Applies one record. A record whose condition does not hold only advances the
 * offset; one that was already applied changes nothing.
 */
export function foldFleetRecord(
  state: FleetState,
  entry: LogEntry,
): FleetState {
  if (entry.offset <= state.offset) return state;
  const { record } = entry;
  const advanced = { ...state, offset: entry.offset };
  if (record.kind === "form") return formReplica(advanced, { entry, record });
  if (record.kind === "replace") {
    return replaceMembers(advanced, { entry, record });
  }
  if (record.kind === "dissolve") return dissolveReplica(advanced, record);
  return advanced;
}

interface FormEntry {
  readonly entry: LogEntry;
  readonly record: FormRecord;
}

function formReplica(state: FleetState, form: FormEntry): FleetState {
  const { entry, record } = form;
  const replicaId = createReplicaId(record.service, record.slot);
  const isSlotFree = !HashMap.has(state.replicas, replicaId);
  if (!isSlotFree || !areDistinctAndFree(state, record.members)) return state;
  return addReplica(state, {
    replicaId,
    service: record.service,
    slot: record.slot,
    fencingNumber: entry.offset,
    members: record.members,
    formedAtMs: entry.appendedAtMs,
  });
}

interface ReplaceEntry {
  readonly entry: LogEntry;
  readonly record: ReplaceRecord;
}

function replaceMembers(state: FleetState, change: ReplaceEntry): FleetState {
  const { entry, record } = change;
  const replica = findReplica(state, record);
  if (replica?.fencingNumber !== record.fencingNumber) return state;
  const without = removeReplica(state, replica);
  if (!areDistinctAndFree(without, record.members)) return state;
  return addReplica(without, {
    ...replica,
    fencingNumber: entry.offset,
    members: record.members,
    formedAtMs: entry.appendedAtMs,
  });
}

function areDistinctAndFree(
  state: FleetState,
  members: readonly string[],
): boolean {
  return new Set(members).size === members.length &&
    members.every((member) => !HashMap.has(state.replicaIdByMember, member));
}

function addReplica(state: FleetState, replica: Replica): FleetState {
  let replicaIdByMember = state.replicaIdByMember;
  for (const member of replica.members) {
    replicaIdByMember = HashMap.set(
      replicaIdByMember,
      member,
      replica.replicaId,
    );
  }
  return {
    ...state,
    replicas: HashMap.set(state.replicas, replica.replicaId, replica),
    replicaIdByMember,
  };
}

function dissolveReplica(
  state: FleetState,
  record: DissolveRecord,
): FleetState {
  const replica = findReplica(state, record);
  if (replica?.fencingNumber !== record.fencingNumber) return state;
  return removeReplica(state, replica);
}

function findReplica(
  state: FleetState,
  { service, slot }: DissolveRecord | ReplaceRecord,
): Replica | undefined {
  const replicaId = createReplicaId(service, slot);
  return Option.getOrUndefined(HashMap.get(state.replicas, replicaId));
}

function removeReplica(state: FleetState, replica: Replica): FleetState {
  let replicaIdByMember = state.replicaIdByMember;
  for (const member of replica.members) {
    replicaIdByMember = HashMap.remove(replicaIdByMember, member);
  }
  return {
    ...state,
    replicas: HashMap.remove(state.replicas, replica.replicaId),
    replicaIdByMember,
  };
}

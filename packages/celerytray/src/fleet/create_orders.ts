import type { EngineOrder, Instance, ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import type { FleetState, Replica } from "./fold_fleet_record.ts";
import {
  holdsOtherRank,
  matchesReplica,
  type MemberObservation,
} from "./replica_health.ts";

/** An order and the instance that it is for. */
export interface AddressedOrder {
  readonly instanceId: string;
  readonly address: string;
  readonly order: EngineOrder;
}

/** Input from which orders are created. */
export interface OrderInput {
  readonly fleet: FleetState;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly findService: (name: string) => ModelService | undefined;
}

/** Orders that bring engines to the state of the fleet's records. */
export function createOrders(input: OrderInput): AddressedOrder[] {
  return [...createJoinOrders(input), ...createReleaseOrders(input)];
}

/** Age of the last observation above which an engine counts as silent. */
const SILENT_AFTER_MS = 5_000;

/**
 * Drops orders to silent engines. Each would wait for its timeout and delay the
 * orders to other fabric domains.
 */
export function dropSilentOrders(
  orders: readonly AddressedOrder[],
  context: {
    readonly observations: ReadonlyMap<string, MemberObservation>;
    readonly nowMs: number;
  },
): AddressedOrder[] {
  return orders.filter(({ instanceId }) => {
    const seen = context.observations.get(instanceId);
    return seen !== undefined &&
      context.nowMs - seen.observedAtMs <= SILENT_AFTER_MS;
  });
}

function createJoinOrders(input: OrderInput): AddressedOrder[] {
  const orders: AddressedOrder[] = [];
  for (const replica of HashMap.values(input.fleet.replicas)) {
    const service = input.findService(replica.service);
    if (service === undefined) continue;
    for (const member of replica.members) {
      const seen = input.observations.get(member);
      const instance = input.instances.get(member);
      if (seen === undefined || instance === undefined) continue;
      const { status } = seen;
      if (matchesReplica(status, replica) && !holdsOtherRank(status)) continue;
      const order = createJoinOrder(replica, { member, service, input });
      orders.push({ instanceId: member, address: instance.address, order });
    }
  }
  return orders;
}

interface JoinTarget {
  readonly member: string;
  readonly service: ModelService;
  readonly input: OrderInput;
}

function createJoinOrder(replica: Replica, target: JoinTarget): EngineOrder {
  const { member, service, input } = target;
  return {
    kind: "join",
    fencingNumber: replica.fencingNumber,
    replicaId: replica.replicaId,
    rank: replica.members.indexOf(member),
    memberAddresses: replica.members.map((name) =>
      input.instances.get(name)?.address ?? ""
    ),
    model: service.model,
    ...(service.modelVersion === undefined
      ? {}
      : { modelVersion: service.modelVersion }),
  };
}

/** Release orders for engines with an assignment but without a replica. */
function createReleaseOrders(input: OrderInput): AddressedOrder[] {
  const orders: AddressedOrder[] = [];
  for (const [instanceId, seen] of input.observations) {
    const { assignment } = seen.status;
    const instance = input.instances.get(instanceId);
    if (assignment === undefined || instance === undefined) continue;
    if (HashMap.has(input.fleet.replicaIdByMember, instanceId)) continue;
    if (assignment.fencingNumber > input.fleet.offset) continue;
    const order: EngineOrder = {
      kind: "release",
      fencingNumber: input.fleet.offset,
    };
    orders.push({ instanceId, address: instance.address, order });
  }
  return orders;
}

import type { ConfigSet, Instance, LogRecord } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import type { ModelEngine } from "../backends/index.ts";
import type {
  LogAnswerLost,
  LogUnavailable,
  LogWriter,
  StreamView,
} from "../log/index.ts";
import type { TimelineFields } from "../timeline/index.ts";
import {
  type AddressedOrder,
  createOrders,
  dropSilentOrders,
  type OrderInput,
} from "./create_orders.ts";
import { createPreloads } from "./create_preloads.ts";
import { createReplicaId, type FleetState } from "./fold_fleet_record.ts";
import type {
  FleetObservation,
  FleetProposal,
  ReplicaPlanner,
} from "./planner_types.ts";
import type { MemberObservation } from "./replica_health.ts";
import { selectOrders } from "./select_orders.ts";

/** Dependencies and settings of the control loop of an entry instance. */
export interface FleetControllerOptions {
  readonly processId: string;
  readonly intervalMs: number;
  readonly planner: ReplicaPlanner;
  readonly engine: ModelEngine;
  readonly writer: LogWriter;
  readonly view: StreamView<FleetState>;
  readonly config: () => ConfigSet;
  readonly listInstances: () => readonly Instance[];
  readonly instancesById: () => ReadonlyMap<string, Instance>;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  /** Maximum number of concurrent weight loads over the whole fleet. */
  readonly maxConcurrentLoads: number;
  /** Whether this process is the preferred one for a name. */
  readonly isPreferred: (name: string) => boolean;
  readonly recordEvent: (
    kind: string,
    fields: TimelineFields,
  ) => Effect.Effect<void>;
}

const FLEET_NAME = "fleet";
const MAX_CONCURRENT_ORDERS = 32;

/** Plans replicas and sends orders once per interval until the scope closes. */
export function runFleetController(
  options: FleetControllerOptions,
): Effect.Effect<void, never, Scope.Scope> {
  const round = planRound(options).pipe(
    Effect.andThen(orderRound(options)),
    Effect.andThen(Effect.sleep(options.intervalMs)),
  );
  return Effect.asVoid(Effect.forkScoped(Effect.forever(round)));
}

function planRound(options: FleetControllerOptions): Effect.Effect<void> {
  const { view } = options;
  return Effect.gen(function* () {
    if (view.readAtMs() === undefined) return;
    const observation: FleetObservation = {
      config: options.config(),
      fleet: view.current(),
      instances: options.listInstances(),
      observations: options.observations,
      nowMs: yield* Clock.currentTimeMillis,
    };
    options.planner.observe(observation);
    if (!options.isPreferred(FLEET_NAME)) return;
    const proposals = options.planner.plan(observation);
    if (proposals.length === 0) return;
    const offsets = yield* Effect.forEach(
      proposals,
      (proposal) => propose(proposal, options),
      { concurrency: "unbounded" },
    );
    yield* view.waitForOffset(Math.max(...offsets));
  }).pipe(Effect.ignore);
}

function propose(
  proposal: FleetProposal,
  options: FleetControllerOptions,
): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
  const recordProposal = options.recordEvent(
    `fleet.${proposal.kind}.proposed`,
    {
      replicaId: createReplicaId(proposal.service, proposal.slot),
      detail: describeProposal(proposal),
    },
  );
  const record = createRecord(proposal, options.processId);
  return recordProposal.pipe(Effect.andThen(options.writer.append(record)));
}

function describeProposal(proposal: FleetProposal): string {
  if (proposal.kind === "dissolve") return proposal.reason;
  const members = proposal.members.join(" ");
  return proposal.kind === "form" ? members : `${proposal.reason}: ${members}`;
}

function createRecord(proposal: FleetProposal, proposer: string): LogRecord {
  const recordId = randomUUID();
  if (proposal.kind === "dissolve") return { ...proposal, recordId, proposer };
  const [head, ...others] = proposal.members;
  return {
    ...proposal,
    members: [head!, ...others],
    recordId,
    proposer,
  };
}

function orderRound(options: FleetControllerOptions): Effect.Effect<void> {
  return Effect.gen(function* () {
    const nowMs = yield* Clock.currentTimeMillis;
    const orders = selectOwnOrders(options, nowMs);
    yield* Effect.forEach(
      orders,
      ({ address, order }) =>
        Effect.ignore(options.engine.sendOrder(address, order)),
      { concurrency: MAX_CONCURRENT_ORDERS, discard: true },
    );
  });
}

/**
 * Selects the orders that this process sends. Every process ranks all orders in
 * the same way and sends those for which it is the preferred process.
 */
function selectOwnOrders(
  options: FleetControllerOptions,
  nowMs: number,
): AddressedOrder[] {
  const config = options.config();
  const fleet = options.view.current();
  const instances = options.instancesById();
  const { observations } = options;
  const input: OrderInput = {
    fleet,
    instances,
    observations,
    findService: (name) => {
      const service = config.services[name];
      return service?.kind === "model" ? service : undefined;
    },
  };
  const serviceNames = Object.keys(config.services);
  const orders = [
    ...createOrders(input),
    ...createPreloads({ ...input, serviceNames, nowMs }),
  ];
  const selected = selectOrders({
    orders: dropSilentOrders(orders, { observations, nowMs }),
    config,
    fleet,
    observations,
    nowMs,
    domainOf: (instanceId) => instances.get(instanceId)?.fabricDomain ?? "",
    maxConcurrentLoads: options.maxConcurrentLoads,
  });
  return selected.filter(({ order, instanceId }) =>
    options.isPreferred(order.replicaId ?? instanceId)
  );
}

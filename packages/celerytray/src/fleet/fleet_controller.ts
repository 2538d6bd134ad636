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
import { createOrders } from "./create_orders.ts";
import { createReplicaId, type FleetState } from "./fold_fleet_record.ts";
import type { FleetProposal, ReplicaPlanner } from "./plan_replicas.ts";
import type { MemberObservation } from "./replica_health.ts";

/** What the control loop needs of its entry instance. */
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
  /** Whether this process is the preferred one for a name. */
  readonly isPreferred: (name: string) => boolean;
  readonly recordEvent: (
    kind: string,
    fields: TimelineFields,
  ) => Effect.Effect<void>;
}

const FLEET_NAME = "fleet";
const MAX_CONCURRENT_ORDERS = 32;

/** Plans replicas and sends orders, once an interval, until the scope closes. */
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
    if (!options.isPreferred(FLEET_NAME)) return;
    const proposals = options.planner.plan({
      config: options.config(),
      fleet: view.current(),
      instances: options.listInstances(),
      observations: options.observations,
      nowMs: yield* Clock.currentTimeMillis,
    });
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
  const note = options.recordEvent(`fleet.${proposal.kind}.proposed`, {
    replicaId: createReplicaId(proposal.service, proposal.slot),
    detail: proposal.kind === "form"
      ? proposal.members.join(" ")
      : proposal.reason,
  });
  const record = createRecord(proposal, options.processId);
  return note.pipe(Effect.andThen(options.writer.append(record)));
}

function createRecord(proposal: FleetProposal, proposer: string): LogRecord {
  const recordId = randomUUID();
  if (proposal.kind === "dissolve") return { ...proposal, recordId, proposer };
  const [leader, ...followers] = proposal.members;
  return {
    ...proposal,
    members: [leader!, ...followers],
    recordId,
    proposer,
  };
}

function orderRound(options: FleetControllerOptions): Effect.Effect<void> {
  return Effect.suspend(() => {
    const orders = createOrders({
      fleet: options.view.current(),
      instances: options.instancesById(),
      observations: options.observations,
      findService: (name) => {
        const service = options.config().services[name];
        return service?.kind === "model" ? service : undefined;
      },
      isOwner: options.isPreferred,
    });
    return Effect.forEach(
      orders,
      ({ address, order }) =>
        Effect.ignore(options.engine.sendOrder(address, order)),
      { concurrency: MAX_CONCURRENT_ORDERS, discard: true },
    );
  });
}

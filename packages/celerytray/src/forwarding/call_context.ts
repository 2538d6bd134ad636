import type { ConfigSet } from "@celerytray/schema";
import type { Effect } from "effect";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Admission, CallSlots } from "../admission/index.ts";
import type { BackendPools } from "../http/index.ts";
import type { CallRouter, RoutingOutcome } from "../routing/index.ts";
import type { TimelineFields } from "../timeline/index.ts";
import type { AuthenticatedCaller } from "./authenticate.ts";
import type {
  ForwardingClaims,
  PlainInstance,
  ReadyReplica,
} from "./forwarding_types.ts";
import type { HedgeDelays } from "./hedge_delay.ts";
import type { InFlightCalls } from "./in_flight_calls.ts";
import type { ServiceFailures } from "./recent_failures.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Dependencies of the data plane on its entry instance. */
export interface ForwardingDependencies {
  readonly availabilityZone: string;
  readonly maxBodyBytes: number;
  readonly pools: BackendPools;
  readonly budget: RetryBudget;
  readonly failures: ServiceFailures;
  readonly hedgeDelays: HedgeDelays;
  readonly router: CallRouter;
  readonly admission: Admission;
  readonly slots: CallSlots;
  readonly claims: ForwardingClaims;
  readonly calls: InFlightCalls;
  readonly config: () => ConfigSet;
  /** Why requests are refused now; undefined when ready. */
  readonly notReadyReason: () => string | undefined;
  readonly listReadyReplicas: (service: string) => readonly ReadyReplica[];
  readonly listPlainInstances: (service: string) => readonly PlainInstance[];
  /** Records that a request was sent to a replica. */
  readonly noteSent: (replicaId: string) => void;
  /** Records the outcome of a request sent to a replica. */
  readonly noteOutcome: (outcome: Omit<RoutingOutcome, "nowMs">) => void;
  readonly recordEvent: (
    kind: string,
    fields: TimelineFields,
  ) => Effect.Effect<void>;
}

/** One authenticated call and its body. */
export interface CallContext extends AuthenticatedCaller {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly config: ConfigSet;
  readonly arrivedAtMs: number;
}

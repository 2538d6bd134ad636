import type { TrpcPeerTransport } from "../admin/index.ts";
import type { InstanceDirectory } from "../backends/index.ts";
import type { ConfigStream } from "../config/index.ts";
import type { FleetState, MemberObservation } from "../fleet/index.ts";
import type { InFlightCalls } from "../forwarding/index.ts";
import type { LogWriter, StreamView } from "../log/index.ts";
import type { Membership } from "../membership/index.ts";
import type { ResolvedEntrySettings } from "../settings/index.ts";
import type { Timeline } from "../timeline/index.ts";
import type { ReadyBackends } from "./ready_backends.ts";

/** The parts of an entry instance that administrative operations use. */
export interface EntryParts {
  readonly settings: ResolvedEntrySettings;
  readonly config: ConfigStream;
  readonly directory: InstanceDirectory;
  readonly membership: Membership;
  readonly transport: TrpcPeerTransport;
  readonly fleet: StreamView<FleetState>;
  readonly configWriter: LogWriter;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly backends: ReadyBackends;
  readonly calls: InFlightCalls;
  readonly timeline: Timeline;
  readonly maxObservationAgeMs: number;
  readonly notReadyReason: () => string | undefined;
}

import { Effect, type Scope } from "effect";
import {
  emptyFleetState,
  fleetSnapshotCodec,
  type FleetState,
  foldFleetRecord,
} from "../fleet/index.ts";
import {
  createLogWriter,
  createStreamView,
  type LogService,
  runSnapshotWriter,
  SNAPSHOT_STREAM,
  type StreamView,
} from "../log/index.ts";

/** Options of the view of the fleet stream. */
export interface EntryFleetOptions {
  readonly log: LogService;
  /** Whether this process is preferred for writing snapshots. */
  readonly isPreferred: () => boolean;
}

const FLEET_STREAM = "fleet";

/** Follows the fleet stream from its latest snapshot and writes new snapshots. */
export function createEntryFleet(
  options: EntryFleetOptions,
): Effect.Effect<StreamView<FleetState>, never, Scope.Scope> {
  const { log, isPreferred } = options;
  return Effect.gen(function* () {
    const view = yield* createStreamView({
      log,
      stream: FLEET_STREAM,
      initial: emptyFleetState(),
      fold: foldFleetRecord,
      snapshot: fleetSnapshotCodec,
    });
    const writer = yield* createLogWriter({ log, stream: SNAPSHOT_STREAM });
    yield* runSnapshotWriter({
      stream: FLEET_STREAM,
      view,
      codec: fleetSnapshotCodec,
      writer,
      isPreferred,
    });
    return view;
  });
}

/** The platform's append-only log: client, views, batched appends, snapshots. */

// Access
export {
  LogAnswerLost,
  type LogEntry,
  type LogError,
  type LogPage,
  type LogReadOptions,
  type LogService,
  LogTruncated,
  LogUnavailable,
} from "./log_service.ts";
export { HttpLogService } from "./http_log_service.ts";

// Following
export { followLog, type FollowLogOptions } from "./follow_log.ts";

// Appending
export {
  AppendRateLimiter,
  type AppendRateLimiterOptions,
} from "./append_rate_limiter.ts";
export {
  type AppendOptions,
  createLogWriter,
  type LogWriter,
  type LogWriterOptions,
} from "./log_writer.ts";
export { createStreamView, type StreamViewOptions } from "./stream_view.ts";
export type { StreamView } from "./stream_view_types.ts";

// Snapshots
export {
  readLatestSnapshot,
  runSnapshotWriter,
  SNAPSHOT_STREAM,
  type SnapshotCodec,
  type SnapshotWriterOptions,
  type StreamSnapshot,
} from "./snapshots.ts";

/** Topics of a compacted log, which keeps the newest record of each key. */
export { CountingLog, type StoreCall } from "./counting_log.ts";
export { EraTrackingLog } from "./era_tracking_log.ts";
export {
  AppendConflict,
  HistoryDropped,
  type KeyedAppend,
  type KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  type KeyedTopic,
  type ReadFailure,
  StoreAnswerLost,
  StoreUnavailable,
} from "./keyed_log.ts";
export { type EraStart, readEraStart, type ToldEraStart } from "./era_start.ts";
export {
  createPosition,
  eraOf,
  type LogPosition,
  MAX_ERA,
  offsetOf,
} from "./position.ts";
export {
  decodeRelayedChange,
  decodeRelayedRecord,
  encodeRelayedRecord,
  type RelayedChange,
  type RelayedRecord,
  TopicCopy,
} from "./topic_copy.ts";
export {
  followTopic,
  type FollowTopicOptions,
  type KeyedChange,
} from "./follow_topic.ts";

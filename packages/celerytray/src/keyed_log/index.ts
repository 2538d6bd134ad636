/** Topics of a store that keeps the newest record of each key. */
export { CountingLog, type StoreCall } from "./counted_log.ts";
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
export {
  decodeRelayedChange,
  type RelayedChange,
  type RelayedRecord,
  TopicCopy,
} from "./topic_copy.ts";
export {
  followTopic,
  type FollowTopicOptions,
  type KeyedChange,
} from "./follow_keyed.ts";

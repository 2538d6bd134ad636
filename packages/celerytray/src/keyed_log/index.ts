/** Topics of a store that keeps the newest record of each key. */
export { CountedLog, type StoreCall } from "./counted_log.ts";
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
  readRelayedChange,
  type RelayedChange,
  type RelayedRecord,
  TopicCopy,
} from "./topic_copy.ts";
export {
  followKeyed,
  type FollowKeyedOptions,
  type KeyedChange,
} from "./follow_keyed.ts";

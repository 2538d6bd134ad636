/**
 * Messages, records, configuration and settings, as types and validators
 * generated from the JSON Schemas of this package.
 */

// Configuration
export type {
  AvailabilityZone,
  ConfigSet,
  Deployment,
  Drain,
  ModelService,
  Organisation,
  PlainService,
  Weighting,
} from "./generated/config.ts";

// Records on the log
export type {
  AcceptedVersion,
  CallOutcome,
  ClaimRecord,
  ConfigRecord,
  ConfigSnapshotRecord,
  DissolveRecord,
  FormRecord,
  LogRecord,
  OutcomeRecord,
  ReplaceRecord,
  SnapshotRecord,
} from "./generated/log_record.ts";

// Platform and backend servers
export type {
  ChatCompletionRequest,
  ChatMessage,
  EngineAssignment,
  EngineOrder,
  EngineStatus,
  Instance,
  InstanceListAnswer,
  LogAppendAnswer,
  LogReadAnswer,
  StoredRecord,
} from "./generated/platform.ts";

// Structured log of the host program
export type { LogEvents } from "./generated/log_events.ts";

// Settings
export type { EntrySettings } from "./generated/settings.ts";
export { settingsSchema } from "./generated/settings_schema.ts";

// Validators
export type { ValidationError, Validator } from "./generated/validators.ts";
export * from "./generated/validators.ts";

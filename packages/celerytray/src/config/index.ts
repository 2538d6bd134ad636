/** The operators' configuration: files, validation, versions and drains. */

// Folder
export { type ConfigFile, parseConfigFile } from "./parse_config_file.ts";
export { mergeConfigFiles, type MergedConfig } from "./merge_config_files.ts";
export { checkConfig } from "./check_config.ts";
export { loadConfigFolder } from "./load_config_folder.ts";
export { ConfigProblem, ConfigRejected } from "./config_problem.ts";

// Versions
export {
  type ConfigState,
  emptyConfigState,
  foldConfigRecord,
} from "./fold_config_record.ts";
export { applyConfigPatch, createConfigPatch } from "./config_patch.ts";
export {
  describePatch,
  listPatchFields,
  type PatchField,
} from "./describe_patch.ts";
export { isValidChange } from "./is_valid_change.ts";

// Stream
export {
  type ConfigStream,
  type ConfigStreamOptions,
  createConfigStream,
} from "./config_stream.ts";
export {
  CONFIG_SNAPSHOT_STREAM,
  CONFIG_STREAM,
  type ConfigSnapshotWriterOptions,
  readLatestConfigSnapshot,
  runConfigSnapshotWriter,
} from "./config_snapshots.ts";
export {
  adoptConfigSnapshot,
  adoptConfigUpdate,
  type ConfigPosition,
  type ConfigUpdate,
  createConfigSnapshot,
  createConfigUpdate,
  type UpdateRefusal,
} from "./config_update.ts";

// Publication
export {
  ConfigConflict,
  ConfigIgnored,
  ConfigOutcomeUnknown,
  publishConfig,
  type PublishConfigOptions,
  type PublishedConfig,
  type PublishFailure,
} from "./publish_config.ts";

// Drains
export {
  addDrain,
  DRAIN_KINDS,
  type DrainKind,
  type DrainTarget,
  findEntryDrain,
  findInstanceDrain,
  removeDrain,
} from "./drains.ts";

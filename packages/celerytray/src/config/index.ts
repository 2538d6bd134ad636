/** The operators' configuration: files, merge, checks, versions. */

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
export { createConfigPatch } from "./config_patch.ts";

// Publication
export {
  ConfigConflict,
  publishConfig,
  type PublishConfigOptions,
} from "./publish_config.ts";

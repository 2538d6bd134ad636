/** Commands of the command line. */
import {
  ConfigApplyCommand,
  ConfigCheckCommand,
  ConfigShowCommand,
} from "./config_commands.ts";
import {
  ConfigDiffCommand,
  ConfigHistoryCommand,
  ConfigRollbackCommand,
  ConfigVersionsCommand,
} from "./config_version_commands.ts";
import { DrainCommand, UndrainCommand } from "./drain_commands.ts";
import { LogsCommand } from "./logs_command.ts";
import {
  QuarantineListCommand,
  QuarantineReleaseCommand,
} from "./quarantine_commands.ts";
import { RepairsCommand } from "./repairs_command.ts";
import { ServeCommand } from "./serve_command.ts";
import { ExplainCommand, TimelineCommand } from "./timeline_commands.ts";
import { ReplicasCommand, StatusCommand } from "./view_commands.ts";

export const commands = [
  ConfigApplyCommand,
  ConfigCheckCommand,
  ConfigDiffCommand,
  ConfigHistoryCommand,
  ConfigRollbackCommand,
  ConfigShowCommand,
  ConfigVersionsCommand,
  DrainCommand,
  ExplainCommand,
  LogsCommand,
  QuarantineListCommand,
  QuarantineReleaseCommand,
  RepairsCommand,
  ReplicasCommand,
  ServeCommand,
  StatusCommand,
  TimelineCommand,
  UndrainCommand,
];

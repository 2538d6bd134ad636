/** All commands. */
import {
  ConfigApplyCommand,
  ConfigCheckCommand,
  ConfigShowCommand,
} from "./config_commands.ts";
import { ServeCommand } from "./serve_command.ts";
import {
  ReplicasCommand,
  StatusCommand,
  TimelineCommand,
} from "./view_commands.ts";

export const commands = [
  ConfigApplyCommand,
  ConfigCheckCommand,
  ConfigShowCommand,
  ReplicasCommand,
  ServeCommand,
  StatusCommand,
  TimelineCommand,
];

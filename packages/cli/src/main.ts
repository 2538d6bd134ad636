#!/usr/bin/env node
/** The celerytray command line: the entry instance and operator commands. */
import { Builtins, Cli } from "clipanion";
import { commands } from "./commands/index.ts";

const cli = new Cli({
  binaryName: "celerytray",
  binaryLabel: "celerytray",
  binaryVersion: "0.1.0",
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
for (const command of commands) cli.register(command);
await cli.runExit(process.argv.slice(2));

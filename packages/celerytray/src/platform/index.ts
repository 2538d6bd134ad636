/** The users' platform: names, formats and calls, decoded once. */
export { createPlatformPorts } from "./create_ports.ts";
export { decodeSettings } from "./settings_file.ts";
export { SETTINGS_VARIABLE } from "./words.ts";

/** The platform's protocol: names, formats, and clients for store and instances. */
export { createPlatformPorts } from "./create_ports.ts";
export { decodeSettings } from "./settings_file.ts";
export type { EraChange, OddEra, StoreEraOptions } from "./store_era.ts";
export { SETTINGS_VARIABLE } from "./words.ts";

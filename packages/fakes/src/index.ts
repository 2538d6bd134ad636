/** Fakes of the platform and of backend servers, with faults that can be switched on. */

// Platform
export * from "./instance_list/index.ts";
export * from "./log_service/index.ts";
export * from "./weight_store/index.ts";
export * from "./platform/index.ts";
export * from "./store/index.ts";
export * from "./coordination/index.ts";

// Backend servers
export * from "./engine/index.ts";
export * from "./fleet/index.ts";
export * from "./plain_service/index.ts";

// Transport
export * from "./http/index.ts";

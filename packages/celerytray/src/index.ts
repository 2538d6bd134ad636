/**
 * The celerytray library: a serving system for models whose replicas span
 * several instances.
 */

// Entry instance
export * from "./entry/index.ts";
export * from "./settings/index.ts";

// Administration and timeline
export * from "./admin/index.ts";
export * from "./metrics/index.ts";
export * from "./timeline/index.ts";

// Configuration
export * from "./config/index.ts";

// Replicas and back ends
export * from "./backends/index.ts";
export * from "./fleet/index.ts";

// Data plane
export * from "./admission/index.ts";
export * from "./claims/index.ts";
export * from "./forwarding/index.ts";
export * from "./routing/index.ts";

// Log and membership
export * from "./log/index.ts";
export * from "./membership/index.ts";

// HTTP and errors
export * from "./errors/index.ts";
export * from "./http/index.ts";

// Process on a machine of a deployment
export * from "./clock/index.ts";
export * from "./coordination/index.ts";
export * from "./explain/index.ts";
export * from "./groups/index.ts";
export * from "./host/index.ts";
export * from "./journal/index.ts";
export * from "./keyed_log/index.ts";
export * from "./platform/index.ts";
export * from "./serving/index.ts";

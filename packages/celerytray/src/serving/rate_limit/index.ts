/** Limits on the request rates of instances, shared by all processes. */
export { InstanceLimits, type LimitChange } from "./instance_limits.ts";
export { LimitBoard } from "./limit_board.ts";
export { createPool } from "./create_pool.ts";
export {
  ageLimitReport,
  EMPTY_LIMIT_REPORT,
  type LimitReport,
  mergeLimitReports,
  parseLimitReport,
  type SharedLimit,
} from "./limit_report.ts";

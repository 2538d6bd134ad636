/** Fake of the platform's append-only log service. */
export {
  FakeLog,
  type FakeLogFaults,
  type StoredFakeRecord,
} from "./fake_log.ts";
export { serveFakeLog } from "./serve_fake_log.ts";
export { InProcessLog, type InProcessLogOptions } from "./in_process_log.ts";

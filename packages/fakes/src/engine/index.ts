/** Fake model engine of one instance. */
export { FakeEngine, type FakeEngineOptions } from "./fake_engine.ts";
export {
  type EngineFaults,
  serveFakeEngine,
  type ServeFakeEngineOptions,
} from "./serve_fake_engine.ts";
export { type StreamFault, type StreamFaultKind } from "./stream_faults.ts";

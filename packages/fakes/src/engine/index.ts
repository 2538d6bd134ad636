/** Stand-in of a model engine on one instance. */
export { FakeEngine, type FakeEngineOptions } from "./fake_engine.ts";
export { serveFakeEngine } from "./serve_fake_engine.ts";

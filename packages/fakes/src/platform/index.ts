/** Fake of the users' platform over HTTP, for tests that run whole processes. */
export { callStream, COMPLETE_STREAM, STREAM_CONFIG } from "./fake_caller.ts";
export {
  createFakeConfig,
  FAKE_MODEL,
  type FakeConfigOptions,
  type FakeModel,
  fakePaths,
} from "./fake_config.ts";
export { type FakeFrontFault, fakeFrontFaults } from "./fake_front.ts";
export {
  createCompleteStream,
  FakeInstanceServer,
  type FakeStreamRun,
} from "./fake_instance_server.ts";
export { FakePlainInstance } from "./fake_plain_instance.ts";
export { FakePlatform, type FakePlatformOptions } from "./fake_platform.ts";
export { type FakeArrival, FakeHttpInstance } from "./fake_http_instance.ts";
export type { HeadLimits } from "./head_places.ts";
export {
  FakeStoreServer,
  type FakeStoreServerFaults,
} from "./fake_store_server.ts";
export {
  completeJoinedFaults,
  type JoinedAnswer,
  type JoinedFault,
  type Joining,
} from "./joined_answer.ts";
export {
  LINK_DELAY_MS,
  type LinkFault,
  linkFaults,
  LoopbackProxy,
} from "./loopback_proxy.ts";
export {
  callPlatform,
  type PlatformAnswer,
  type PlatformCall,
} from "./platform_caller.ts";
export {
  type CutMode,
  cutModes,
  LABEL_OPTIONS,
  ProcessCuts,
} from "./process_cuts.ts";

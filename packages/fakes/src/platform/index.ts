/** The users' platform over HTTP, for tests of whole processes. */
export { FakeInstanceServer } from "./fake_instance_server.ts";
export { FakePlatform } from "./fake_platform.ts";
export { FakeStoreServer } from "./fake_store_server.ts";
export {
  callStream,
  STREAM_CONFIG,
  type StreamAnswer,
  WHOLE_STREAM,
} from "./fake_caller.ts";

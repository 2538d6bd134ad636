/** Minimal JSON server that the fakes share. */
export {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
  readJson,
  writeJson,
} from "./json_server.ts";

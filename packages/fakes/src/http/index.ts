/** Small JSON server that the stand-ins share. */
export {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
  readJson,
  writeJson,
} from "./json_server.ts";

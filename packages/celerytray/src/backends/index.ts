/** Clients of the model engines and of the platform's instance list. */
export {
  HttpInstanceList,
  type InstanceList,
  InstanceListUnavailable,
} from "./instance_list.ts";
export {
  EngineRefused,
  EngineUnavailable,
  HttpModelEngine,
  type ModelEngine,
} from "./model_engine.ts";
export {
  createInstanceDirectory,
  type InstanceDirectory,
} from "./instance_directory.ts";

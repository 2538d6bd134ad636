/** Many processes that follow one of them, in memory. */
export {
  type CoordinatedProcess,
  endProcess,
  type ProcessState,
} from "./coordinated_process.ts";
export {
  type CoordinationWorld,
  createCoordinationWorld,
} from "./coordination_world.ts";

/** Many processes that follow one of them, in memory. */
export {
  type CoordinatedProcess,
  type CoordinationWorld,
  createCoordinationWorld,
  endProcess,
  type ProcessState,
} from "./coordination_world.ts";

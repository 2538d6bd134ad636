/** Fake model instances that execute orders, on Effect's clock. */
export {
  FakeFleet,
  type FakeFleetFaults,
  type FakeFleetOptions,
  runFakeFleet,
} from "./fake_fleet.ts";
export {
  type FakeInstanceTimes,
  FakeModelInstance,
} from "./fake_model_instance.ts";

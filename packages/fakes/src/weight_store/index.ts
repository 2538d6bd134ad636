/** Fake of the rate-limited weight store. */
export {
  FakeWeightStore,
  type FakeWeightStoreOptions,
} from "./fake_weight_store.ts";

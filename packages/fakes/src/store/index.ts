/** Fake of the keyed store, which keeps the latest record of each key. */
export {
  type FakeAppendResult,
  FakeKeyedStore,
  type FakeStoreCopy,
  type FakeStoreFaults,
} from "./fake_keyed_store.ts";
export {
  InProcessStore,
  type InProcessStoreOptions,
} from "./in_process_store.ts";

import type { HostPorts } from "../host/index.ts";
import { PlatformCallCodec } from "./call_codec.ts";
import { decodeConfig } from "./decode_config.ts";
import { decodeInstance } from "./decode_instance.ts";
import { InstanceClient } from "./instance_client.ts";
import { StoreClient } from "./store_client.ts";
import type { StoreEraOptions } from "./store_era.ts";
import { CONFIG_KEY, EVACUATION_PREFIX, RELEASE_PREFIX } from "./words.ts";

/** Creates the host's ports to the platform: store, instances and codecs. */
export function createPlatformPorts(
  options: { readonly storeAddress: string } & StoreEraOptions,
): HostPorts {
  return {
    log: new StoreClient({ ...options, address: options.storeAddress }),
    control: new InstanceClient(),
    codec: new PlatformCallCodec(),
    decodeConfig,
    decodeInstance,
    configKey: CONFIG_KEY,
    evacuationPrefix: EVACUATION_PREFIX,
    releasePrefix: RELEASE_PREFIX,
  };
}

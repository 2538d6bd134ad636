import type { Instance } from "@celerytray/schema";
import {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
} from "../http/index.ts";

/** Serves an instance list over HTTP; `PUT /instances` replaces it. */
export function serveFakeInstanceList(options: {
  readonly address: string;
  readonly instances?: readonly Instance[];
}): Promise<FakeServer> {
  let instances: readonly Instance[] = options.instances ?? [];
  const handle = (call: JsonCall): JsonAnswer => {
    if (call.path !== "/instances") {
      return { status: 404, body: { error: "unknown path" } };
    }
    if (call.method === "PUT") {
      const body = call.body as { readonly instances: readonly Instance[] };
      instances = body.instances;
    }
    return { status: 200, body: { instances } };
  };
  return createJsonServer({
    address: options.address,
    handle: (call) => Promise.resolve(handle(call)),
  });
}

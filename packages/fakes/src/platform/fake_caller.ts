import { createFakeConfig, FAKE_MODEL, fakePaths } from "./fake_config.ts";
import { createCompleteStream } from "./fake_instance_server.ts";
import { callPlatform, type PlatformAnswer } from "./platform_caller.ts";

const KEY = "key-1";
const PROMPT = "prompt";
const DEADLINE_MS = 8_000;

/** A configuration with a route of streams, for one organisation. */
export const STREAM_CONFIG = createFakeConfig({
  version: 1,
  tenants: [{ name: "o", keys: [KEY] }],
});

/** What a head of a replica streams to `callStream`. */
export const COMPLETE_STREAM = createCompleteStream(PROMPT);

/** Sends one request of that configuration and waits for the whole answer. */
export function callStream(
  address: string,
  callId: string,
): Promise<PlatformAnswer> {
  return callPlatform({
    address,
    callId,
    path: fakePaths.stream,
    key: KEY,
    prompt: PROMPT,
    deadlineMs: DEADLINE_MS,
    agent: false,
    model: FAKE_MODEL,
  });
}

import { createFakeConfig, FAKE_MODEL, fakePaths } from "./fake_config.ts";
import { createCompleteStream } from "./fake_instance_server.ts";
import { callPlatform, type PlatformAnswer } from "./platform_caller.ts";

const KEY = "key-1";
const PROMPT = "prompt";
const DEADLINE_MS = 8_000;

/** A configuration with a streaming route and one organisation. */
export const STREAM_CONFIG = createFakeConfig({
  version: 1,
  tenants: [{ name: "o", keys: [KEY] }],
});

/** The complete stream that a replica's head sends in response to `callStream`. */
export const COMPLETE_STREAM = createCompleteStream(PROMPT);

/**
 * Sends one request to the streaming route of `STREAM_CONFIG` and waits for the
 * complete response.
 */
export function callStream(
  address: string,
  callId: string,
  promptParts?: string,
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
    ...(promptParts === undefined ? {} : { promptParts }),
  });
}

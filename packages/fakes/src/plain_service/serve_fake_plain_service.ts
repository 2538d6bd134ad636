import { setTimeout as sleep } from "node:timers/promises";
import {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
} from "../http/index.ts";

/** One run of a call, as the stand-in counts it. */
export interface PlainRun {
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly requestId: string | undefined;
  readonly body: unknown;
  readonly ranAtMs: number;
}

interface PlainFaults {
  /** Runs the call, then cuts the connection. */
  readonly losesAnswers?: boolean;
  readonly delayMs?: number;
}

/** Serves calls and counts their runs; `GET /runs` lists them. */
export function serveFakePlainService(options: {
  readonly address: string;
  readonly instanceId: string;
}): Promise<FakeServer> {
  const runs: PlainRun[] = [];
  const state = { faults: {} as PlainFaults };
  const handle = async (call: JsonCall): Promise<JsonAnswer | undefined> => {
    if (call.path === "/runs") return { status: 200, body: { runs } };
    if (call.path === "/faults") {
      state.faults = call.body as PlainFaults;
      return { status: 200, body: state.faults };
    }
    await sleep(state.faults.delayMs ?? 0);
    runs.push(describeRun(call));
    if (state.faults.losesAnswers === true) {
      call.response.destroy();
      return undefined;
    }
    return {
      status: call.method === "POST" ? 201 : 200,
      body: {
        instanceId: options.instanceId,
        runNumber: runs.length,
        path: call.path,
        received: call.body ?? null,
      },
    };
  };
  return createJsonServer({ address: options.address, handle });
}

function describeRun(call: JsonCall): PlainRun {
  const { headers } = call.request;
  return {
    method: call.method,
    path: call.path,
    key: headers["idempotency-key"] as string | undefined,
    requestId: headers["x-request-id"] as string | undefined,
    body: call.body,
    ranAtMs: Date.now(),
  };
}

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

/** Faults that can be switched on. */
export interface PlainFaults {
  /** Runs the call, then cuts the connection. */
  readonly losesAnswers?: boolean;
  /** Runs the call, then cuts the connection within the answer. */
  readonly cutsAnswers?: boolean;
  /** Runs the call and answers without a length, cut short. */
  readonly omitsLength?: boolean;
  /** Runs the call and answers it with another call's answer. */
  readonly crossesAnswers?: boolean;
  /** Runs the call and never answers. */
  readonly isSilent?: boolean;
  readonly delayMs?: number;
}

const FOREIGN_REQUEST_ID = "req-00000000-0000-4000-8000-000000000000";

interface PlainState {
  faults: PlainFaults;
  readonly runs: PlainRun[];
  readonly instanceId: string;
}

/** Serves calls and counts their runs; `GET /runs` lists them. */
export function serveFakePlainService(options: {
  readonly address: string;
  readonly instanceId: string;
  readonly faults?: PlainFaults;
}): Promise<FakeServer> {
  const state: PlainState = {
    faults: options.faults ?? {},
    runs: [],
    instanceId: options.instanceId,
  };
  return createJsonServer({
    address: options.address,
    handle: (call) => handle(call, state),
  });
}

async function handle(
  call: JsonCall,
  state: PlainState,
): Promise<JsonAnswer | undefined> {
  const { runs } = state;
  if (call.path === "/runs") return { status: 200, body: { runs } };
  if (call.path === "/faults") {
    state.faults = call.body as PlainFaults;
    return { status: 200, body: state.faults };
  }
  if (state.faults.delayMs !== undefined) await sleep(state.faults.delayMs);
  runs.push(describeRun(call));
  return answerRun(call, state);
}

function answerRun(
  call: JsonCall,
  { faults, runs, instanceId }: PlainState,
): JsonAnswer | undefined {
  const { response, request } = call;
  if (faults.losesAnswers === true) {
    response.destroy();
    return undefined;
  }
  if (faults.isSilent === true) return undefined;
  const answer = {
    status: call.method === "POST" ? 201 : 200,
    body: {
      instanceId,
      runNumber: runs.length,
      path: call.path,
      query: call.query.toString(),
      received: call.body ?? null,
    },
  };
  const text = JSON.stringify(answer.body);
  if (faults.cutsAnswers === true) {
    response.writeHead(answer.status, { "content-length": text.length });
    response.write(text.slice(0, text.length / 2), () => response.destroy());
    return undefined;
  }
  if (faults.omitsLength === true) {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(answer.status, { connection: "close" });
    response.end(text.slice(0, text.length / 2));
    return undefined;
  }
  if (faults.crossesAnswers === true) {
    response.setHeader("x-request-id", FOREIGN_REQUEST_ID);
    return { ...answer, body: { ...answer.body, path: "/of-another-caller" } };
  }
  response.setHeader("x-request-id", String(request.headers["x-request-id"]));
  return answer;
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

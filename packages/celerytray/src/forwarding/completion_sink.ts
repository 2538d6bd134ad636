import { Effect } from "effect";
import type { ServerResponse } from "node:http";

/** A token event of an engine's stream. */
export interface TokenEvent {
  /** Position in the response, from 0. */
  readonly index: number;
  /** The chunk, as JSON text. */
  readonly data: string;
}

/** Options of a sink. */
export interface CompletionSinkOptions {
  readonly requestId: string;
  readonly response: ServerResponse;
  /** Whether the caller asked for server-sent events. */
  readonly isStream: boolean;
}

/** Whether a token was accepted, or why not. */
export type TokenResult =
  | "accepted"
  | "foreign"
  | "out-of-order"
  | "too-large";

const MAX_BUFFERED_RESPONSE_CHARS = 16 * 1024 * 1024;

const INTERMEDIATE_CHUNK_SUFFIX = '"finish_reason":null}]}';

interface ChunkChoice {
  readonly delta?: { readonly content?: string };
  readonly finish_reason?: string | null;
}

interface Chunk {
  readonly id?: string;
  readonly model?: string;
  readonly created?: number;
  readonly choices?: readonly ChunkChoice[];
}

/** Forwards one response to its caller, each token once and in order. */
export class CompletionSink {
  readonly #options: CompletionSinkOptions;
  #nextIndex = 0;
  #pending = "";
  readonly #chunks: string[] = [];
  /** Start of this response's chunks as engines usually write them. */
  readonly #chunkPrefix: string;
  #chunkChars = 0;
  #isComplete = false;

  constructor(options: CompletionSinkOptions) {
    this.#options = options;
    this.#chunkPrefix = `{"id":${JSON.stringify(options.requestId)},`;
  }

  /** Index of the next token to accept. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** Whether a chunk with a finish reason was accepted. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Accepts the next token of this response. */
  accept(event: TokenEvent): TokenResult {
    const { requestId, isStream } = this.#options;
    if (event.index !== this.#nextIndex) return "out-of-order";
    if (!isStream || !this.#isOwnIntermediateChunk(event.data)) {
      const chunk = parseChunk(event.data);
      if (chunk?.choices === undefined) return "foreign";
      if (chunk.id !== undefined && chunk.id !== requestId) return "foreign";
      this.#isComplete ||= hasFinishReason(chunk);
    }
    if (isStream) {
      this.#pending += `id: ${requestId}:${event.index}\n` +
        `data: ${formatData(event.data)}\n\n`;
    } else {
      this.#chunkChars += event.data.length;
      if (this.#chunkChars > MAX_BUFFERED_RESPONSE_CHARS) return "too-large";
      this.#chunks.push(event.data);
    }
    this.#nextIndex += 1;
    return "accepted";
  }

  /**
   * Whether a chunk has this request's id and no finish reason, without parsing
   * it.
   */
  #isOwnIntermediateChunk(data: string): boolean {
    return data.startsWith(this.#chunkPrefix) &&
      data.endsWith(INTERMEDIATE_CHUNK_SUFFIX);
  }

  /** Writes the accepted tokens; false means to wait for `onDrained`. */
  flush(): boolean {
    if (this.#pending === "") return true;
    const { response } = this.#options;
    if (!response.headersSent) writeStreamHeaders(response);
    const text = this.#pending;
    this.#pending = "";
    return response.write(text);
  }

  /** Calls back once the caller's connection has drained. */
  onDrained(resume: () => void): void {
    this.#options.response.once("drain", resume);
  }

  /** Ends a complete response. */
  finish(): Effect.Effect<void> {
    return Effect.sync(() => {
      const { response, isStream } = this.#options;
      if (isStream) {
        this.flush();
        if (!response.headersSent) writeStreamHeaders(response);
        response.end("data: [DONE]\n\n");
      } else {
        const body = assembleCompletion(this.#options.requestId, this.#chunks);
        response.writeHead(200, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
          "celerytray-outcome": "ran",
        });
        response.end(body);
      }
    });
  }
}

function formatData(data: string): string {
  return data.includes("\n") ? data.replaceAll("\n", "\ndata: ") : data;
}

function parseChunk(text: string): Chunk | undefined {
  try {
    const chunk = JSON.parse(text) as Chunk | null;
    return Array.isArray(chunk?.choices) ? chunk : undefined;
  } catch {
    return undefined;
  }
}

function hasFinishReason(chunk: Chunk): boolean {
  return chunk.choices?.some(({ finish_reason }) =>
    typeof finish_reason === "string"
  ) === true;
}

function writeStreamHeaders(response: ServerResponse): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "celerytray-outcome": "ran",
  });
}

function assembleCompletion(
  requestId: string,
  chunks: readonly string[],
): string {
  const parsed = chunks.map((text) => JSON.parse(text) as Chunk);
  const choices = parsed.flatMap((chunk) => chunk.choices ?? []);
  const content = choices.map((choice) => choice.delta?.content ?? "").join("");
  const finishReason = choices.findLast((choice) =>
    choice.finish_reason !== undefined && choice.finish_reason !== null
  )?.finish_reason;
  return JSON.stringify({
    id: requestId,
    object: "chat.completion",
    created: parsed[0]?.created ?? 0,
    model: parsed[0]?.model ?? "",
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finishReason ?? "stop",
    }],
    usage: { completion_tokens: chunks.length },
  });
}

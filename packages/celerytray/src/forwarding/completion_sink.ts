import { Effect } from "effect";
import type { ServerResponse } from "node:http";

/** A token event of an engine's stream. */
export interface TokenEvent {
  /** Position in the answer, from 0. */
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

/** Whether a token was taken, or what is wrong with it. */
export type TokenVerdict =
  | "accepted"
  | "foreign"
  | "out-of-order"
  | "too-large";

const MAX_WHOLE_ANSWER_CHARS = 16 * 1024 * 1024;

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

/** Passes one answer on to its caller, each token once and in order. */
export class CompletionSink {
  readonly #options: CompletionSinkOptions;
  #nextIndex = 0;
  #pending = "";
  readonly #chunks: string[] = [];
  #chunkChars = 0;
  #isComplete = false;

  constructor(options: CompletionSinkOptions) {
    this.#options = options;
  }

  /** Index of the first token not yet taken. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** Whether the engine said why the answer ended. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Takes the next token of this answer. */
  accept(event: TokenEvent): TokenVerdict {
    const { requestId, isStream } = this.#options;
    if (event.index !== this.#nextIndex) return "out-of-order";
    const chunk = parseChunk(event.data);
    if (chunk?.choices === undefined) return "foreign";
    if (chunk.id !== undefined && chunk.id !== requestId) return "foreign";
    if (isStream) {
      this.#pending += `id: ${requestId}:${event.index}\n` +
        `data: ${event.data.replaceAll("\n", "\ndata: ")}\n\n`;
    } else {
      this.#chunkChars += event.data.length;
      if (this.#chunkChars > MAX_WHOLE_ANSWER_CHARS) return "too-large";
      this.#chunks.push(event.data);
    }
    this.#nextIndex += 1;
    this.#isComplete ||= hasFinishReason(chunk);
    return "accepted";
  }

  /** Writes what was taken; false asks to wait for `drained`. */
  flush(): boolean {
    if (this.#pending === "") return true;
    const { response } = this.#options;
    if (!response.headersSent) writeStreamHead(response);
    const text = this.#pending;
    this.#pending = "";
    return response.write(text);
  }

  /** Calls back once the caller has taken what was written. */
  onDrained(resume: () => void): void {
    this.#options.response.once("drain", resume);
  }

  /** Ends a whole answer. */
  finish(): Effect.Effect<void> {
    return Effect.sync(() => {
      const { response, isStream } = this.#options;
      if (isStream) {
        this.flush();
        if (!response.headersSent) writeStreamHead(response);
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

function writeStreamHead(response: ServerResponse): void {
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

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

interface ChunkChoice {
  readonly delta?: { readonly content?: string };
  readonly finish_reason?: string | null;
}

interface Chunk {
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

  constructor(options: CompletionSinkOptions) {
    this.#options = options;
  }

  /** Index of the first token not yet taken. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** Takes the next token; false if it is not the next one. */
  accept(event: TokenEvent): boolean {
    if (event.index !== this.#nextIndex) return false;
    this.#nextIndex += 1;
    if (this.#options.isStream) {
      this.#pending +=
        `id: ${this.#options.requestId}:${event.index}\ndata: ${event.data}\n\n`;
    } else {
      this.#chunks.push(event.data);
    }
    return true;
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

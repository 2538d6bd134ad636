import { LOCAL_API_KEY, type LocalDataPlane } from "./local_data_plane.ts";

/** A completion as its caller received it. */
export interface CompletionResult {
  readonly status: number;
  readonly outcome: string | null;
  /** In the order of arrival. */
  readonly tokens: readonly string[];
  /** Status 200 and, for a stream, a final `[DONE]` event. */
  readonly isComplete: boolean;
  readonly text: string;
}

/** Requests a completion and reads the response to its end. */
export async function requestCompletion(
  plane: Pick<LocalDataPlane, "url">,
  options: {
    readonly prompt: string;
    readonly tokenCount: number;
    readonly isStream?: boolean;
    readonly signal?: AbortSignal;
  },
): Promise<CompletionResult> {
  const isStream = options.isStream ?? true;
  const response = await fetch(`${plane.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${LOCAL_API_KEY}` },
    body: JSON.stringify({
      model: "drafter",
      stream: isStream,
      max_tokens: options.tokenCount,
      messages: [{ role: "user", content: options.prompt }],
    }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  const text = await response.text();
  const contentMatches = [...text.matchAll(/"content":"([^"]*)"/g)];
  return {
    status: response.status,
    outcome: response.headers.get("celerytray-outcome"),
    tokens: contentMatches.map((match) => match[1]!),
    isComplete: response.status === 200 &&
      (!isStream || text.endsWith("data: [DONE]\n\n")),
    text,
  };
}

/** Lists the tokens that a fake engine generates for a prompt of one word. */
export function listExpectedTokens(
  prompt: string,
  tokenCount: number,
): string[] {
  return Array.from(
    { length: tokenCount },
    (_, index) => `${prompt}-${index} `,
  );
}

/** Calls the plain service of a local data plane. */
export function callPlainService(
  plane: Pick<LocalDataPlane, "url">,
  options: {
    readonly path: string;
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
  },
): Promise<Response> {
  return fetch(`${plane.url}/services/slotbook${options.path}`, {
    method: options.method ?? "GET",
    headers: { authorization: `Bearer ${LOCAL_API_KEY}`, ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
}

import { LOCAL_KEY, type LocalDataPlane } from "./local_data_plane.ts";

/** A completion as its caller saw it. */
export interface SeenCompletion {
  readonly status: number;
  readonly outcome: string | null;
  /** Tokens, in order. */
  readonly tokens: readonly string[];
  /** Whether the answer ended as a whole one. */
  readonly isWhole: boolean;
  readonly text: string;
}

/** Asks for a completion and reads what comes. */
export async function askCompletion(
  plane: Pick<LocalDataPlane, "url">,
  options: {
    readonly prompt: string;
    readonly tokenCount: number;
    readonly isStream?: boolean;
    readonly signal?: AbortSignal;
  },
): Promise<SeenCompletion> {
  const isStream = options.isStream ?? true;
  const response = await fetch(`${plane.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${LOCAL_KEY}` },
    body: JSON.stringify({
      model: "drafter",
      stream: isStream,
      max_tokens: options.tokenCount,
      messages: [{ role: "user", content: options.prompt }],
    }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  const text = await response.text();
  const contents = [...text.matchAll(/"content":"([^"]*)"/g)];
  return {
    status: response.status,
    outcome: response.headers.get("celerytray-outcome"),
    tokens: contents.map((match) => match[1]!),
    isWhole: response.status === 200 &&
      (!isStream || text.endsWith("data: [DONE]\n\n")),
    text,
  };
}

/** Tokens that an engine gives for a prompt of one word. */
export function expectTokens(prompt: string, tokenCount: number): string[] {
  return Array.from(
    { length: tokenCount },
    (_, index) => `${prompt}-${index} `,
  );
}

/** Calls a plain service. */
export function callPlain(
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
    headers: { authorization: `Bearer ${LOCAL_KEY}`, ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
}

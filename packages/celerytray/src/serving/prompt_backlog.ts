import type { EngineSpec } from "./serving_config.ts";

/** Prompts that this process has sent and that no event has answered yet. */
export class PromptBacklog {
  readonly #tokens = new Map<string, number>();

  /** Adds a prompt until the returned function is called. */
  add(instanceId: string, tokens: number): () => void {
    this.#change(instanceId, tokens);
    let isAdded = true;
    return () => {
      if (isAdded) this.#change(instanceId, -tokens);
      isAdded = false;
    };
  }

  /** Tokens of the prompts that an instance is still expected to read. */
  tokensAt(instanceId: string): number {
    return this.#tokens.get(instanceId) ?? 0;
  }

  #change(instanceId: string, tokens: number): void {
    const sum = this.tokensAt(instanceId) + tokens;
    if (sum > 0) this.#tokens.set(instanceId, sum);
    else this.#tokens.delete(instanceId);
  }
}

/** Time in which a replica of a model reads prompts; 0 if it is not known. */
export function promptReadMs(
  tokens: number,
  engine: EngineSpec | undefined,
  model: string | undefined,
): number {
  const tokensPerSecond = engine?.promptTokensPerSecond ?? 0;
  if (engine === undefined || tokensPerSecond <= 0) return 0;
  const pace = engine.models.find(({ name }) => name === model)?.pace ?? 1;
  return tokens * 1_000 * pace / tokensPerSecond;
}

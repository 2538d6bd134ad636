import type { ChatCompletionRequest } from "@celerytray/schema";

const DEFAULT_TOKENS = 16;

/**
 * Generates the tokens of a completion from the request alone, so that every
 * replica returns the same.
 */
export function generateTokens(request: ChatCompletionRequest): string[] {
  const prompt = findPrompt(request);
  const count = request.max_tokens ?? DEFAULT_TOKENS;
  const words = prompt.split(/\s+/).filter((word) => word !== "");
  return Array.from({ length: count }, (_, index) => {
    const word = words[index % Math.max(1, words.length)] ?? "token";
    return `${word}-${index} `;
  });
}

function findPrompt(request: ChatCompletionRequest): string {
  const content = request.messages?.at(-1)?.content;
  return typeof content === "string" ? content : request.prompt ?? "";
}

/** Names the service and model of a call, whose instances it may use. */
export function createPool(
  { service, headers }: {
    readonly service: string;
    readonly headers: { readonly model?: string };
  },
): string {
  return JSON.stringify([service, headers.model]);
}

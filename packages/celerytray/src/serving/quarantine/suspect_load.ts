/** Counts the requests in progress with suspected prompts, by instance. */
export class SuspectLoad {
  readonly #requests = new Map<string, number>();

  has(instanceId: string): boolean {
    return this.#requests.has(instanceId);
  }

  /** Counts a request that was sent (1) or that ended or began to write (-1). */
  note(instanceId: string, change: 1 | -1): void {
    const requests = (this.#requests.get(instanceId) ?? 0) + change;
    if (requests > 0) this.#requests.set(instanceId, requests);
    else this.#requests.delete(instanceId);
  }
}

/**
 * Returns members in rotation. Members that are passed over come first again.
 */
export class ReplicaRotation<Member> {
  readonly #order: Member[];
  #next = 0;

  constructor(members: readonly Member[], options: { readonly start: number }) {
    this.#order = [...members];
    this.#next = members.length === 0 ? 0 : options.start % members.length;
  }

  /** Returns the next members without consuming them. */
  peek(count: number): Member[] {
    const { length } = this.#order;
    return Array.from(
      { length: Math.min(count, length) },
      (_, step) => this.#order[(this.#next + step) % length]!,
    );
  }

  /** Consumes a member's turn if it is among the next `window`. */
  take(member: Member, window: number): void {
    const { length } = this.#order;
    for (let step = 0; step < Math.min(window, length); step++) {
      const position = (this.#next + step) % length;
      if (this.#order[position] !== member) continue;
      this.#order[position] = this.#order[this.#next]!;
      this.#order[this.#next] = member;
      this.#next = (this.#next + 1) % length;
      return;
    }
  }
}

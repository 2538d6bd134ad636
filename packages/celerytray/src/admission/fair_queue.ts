/** A request that waits, and for whom. */
export interface QueuedTicket {
  readonly ticketId: number;
  readonly organisationName: string;
  /** Share relative to other organisations. */
  readonly weight: number;
  /** Higher goes first within the organisation. */
  readonly priority: number;
}

interface Lane<Ticket> {
  weight: number;
  /** Virtual time from which the organisation's next request is due. */
  dueAt: number;
  readonly tickets: Ticket[];
}

/** Who a new request would come from. */
export type QueuePlace = Omit<QueuedTicket, "ticketId">;

/**
 * Serves organisations in proportion to their weights (start-time fair
 * queueing), and within one the highest priority, then the oldest.
 */
export class FairQueue<Ticket extends QueuedTicket> {
  readonly #lanes = new Map<string, Lane<Ticket>>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Requests now waiting that would be served before a new one. */
  countAhead(place: QueuePlace): number {
    const { organisationName, weight, priority } = place;
    const own = this.#lanes.get(organisationName);
    const ownAhead = own === undefined ? 0 : findPosition(own, priority);
    const dueAt = (own?.dueAt ?? this.#virtualTime) + ownAhead / weight;
    let ahead = ownAhead;
    for (const lane of this.#lanes.values()) {
      if (lane === own) continue;
      const due = Math.floor((dueAt - lane.dueAt) * lane.weight) + 1;
      ahead += Math.min(lane.tickets.length, Math.max(0, due));
    }
    return ahead;
  }

  add(ticket: Ticket): void {
    const { organisationName, weight, priority } = ticket;
    let lane = this.#lanes.get(organisationName);
    if (lane === undefined) {
      lane = { weight, dueAt: this.#virtualTime, tickets: [] };
      this.#lanes.set(organisationName, lane);
    }
    lane.weight = weight;
    lane.tickets.splice(findPosition(lane, priority), 0, ticket);
    this.#size += 1;
  }

  /** The request that is served next. */
  peek(): Ticket | undefined {
    return this.#findNext()?.tickets[0];
  }

  /** Takes the next request; its organisation is charged for it. */
  take(): Ticket | undefined {
    const next = this.#findNext();
    if (next === undefined) return undefined;
    const ticket = next.tickets.shift()!;
    this.#size -= 1;
    this.#virtualTime = next.dueAt;
    next.dueAt += 1 / next.weight;
    this.#forgetIdle();
    return ticket;
  }

  /** Takes a request out uncharged; whether it still waited. */
  remove(ticket: Ticket): boolean {
    const lane = this.#lanes.get(ticket.organisationName);
    const position = lane?.tickets.indexOf(ticket) ?? -1;
    if (lane === undefined || position < 0) return false;
    lane.tickets.splice(position, 1);
    this.#size -= 1;
    this.#forgetIdle();
    return true;
  }

  #findNext(): Lane<Ticket> | undefined {
    let next: Lane<Ticket> | undefined;
    for (const lane of this.#lanes.values()) {
      if (lane.tickets.length === 0) continue;
      if (next === undefined || lane.dueAt < next.dueAt) next = lane;
    }
    return next;
  }

  /** An empty lane matters until its last request is paid for. */
  #forgetIdle(): void {
    for (const [name, lane] of this.#lanes) {
      const isPaid = lane.dueAt <= this.#virtualTime || this.#size === 0;
      if (lane.tickets.length === 0 && isPaid) this.#lanes.delete(name);
    }
  }
}

function findPosition<Ticket extends QueuedTicket>(
  lane: Lane<Ticket>,
  priority: number,
): number {
  const position = lane.tickets.findIndex((other) => other.priority < priority);
  return position < 0 ? lane.tickets.length : position;
}

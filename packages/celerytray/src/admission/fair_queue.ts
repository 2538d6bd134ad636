/** A waiting request and its organisation. */
export interface QueuedTicket {
  readonly ticketId: number;
  readonly organisationName: string;
  /** Share relative to other organisations. */
  readonly weight: number;
  /** Higher priorities are served first within the organisation. */
  readonly priority: number;
}

interface Flow<Ticket> {
  weight: number;
  /**
   * Start tag: virtual time at which the organisation's next request is due.
   */
  startTag: number;
  readonly tickets: Ticket[];
}

/** Organisation, weight and priority of a new request. */
export type QueueCandidate = Omit<QueuedTicket, "ticketId">;

/**
 * Serves organisations in proportion to their weights (start-time fair
 * queueing). Within an organisation, serves the highest priority first, then
 * the oldest request.
 */
export class FairQueue<Ticket extends QueuedTicket> {
  readonly #flows = new Map<string, Flow<Ticket>>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Counts the waiting requests that would be served before a new one. */
  countAhead(candidate: QueueCandidate): number {
    const { organisationName, weight, priority } = candidate;
    const own = this.#flows.get(organisationName);
    const ownAhead = own === undefined ? 0 : findPosition(own, priority);
    const startTag = (own?.startTag ?? this.#virtualTime) + ownAhead / weight;
    let ahead = ownAhead;
    for (const flow of this.#flows.values()) {
      if (flow === own) continue;
      const precedingCount =
        Math.floor((startTag - flow.startTag) * flow.weight) + 1;
      ahead += Math.min(flow.tickets.length, Math.max(0, precedingCount));
    }
    return ahead;
  }

  add(ticket: Ticket): void {
    const { organisationName, weight, priority } = ticket;
    let flow = this.#flows.get(organisationName);
    if (flow === undefined) {
      flow = { weight, startTag: this.#virtualTime, tickets: [] };
      this.#flows.set(organisationName, flow);
    }
    flow.weight = weight;
    flow.tickets.splice(findPosition(flow, priority), 0, ticket);
    this.#size += 1;
  }

  /** Returns the request that is served next without removing it. */
  peek(): Ticket | undefined {
    return this.#findNextFlow()?.tickets[0];
  }

  /** Removes the next request and charges its organisation for it. */
  take(): Ticket | undefined {
    const next = this.#findNextFlow();
    if (next === undefined) return undefined;
    const ticket = next.tickets.shift()!;
    this.#size -= 1;
    this.#virtualTime = next.startTag;
    next.startTag += 1 / next.weight;
    this.#removeIdleFlows();
    return ticket;
  }

  /**
   * Removes a request without charging for it; returns whether it was waiting.
   */
  remove(ticket: Ticket): boolean {
    const flow = this.#flows.get(ticket.organisationName);
    const position = flow?.tickets.indexOf(ticket) ?? -1;
    if (flow === undefined || position < 0) return false;
    flow.tickets.splice(position, 1);
    this.#size -= 1;
    this.#removeIdleFlows();
    return true;
  }

  #findNextFlow(): Flow<Ticket> | undefined {
    let next: Flow<Ticket> | undefined;
    for (const flow of this.#flows.values()) {
      if (flow.tickets.length === 0) continue;
      if (next === undefined || flow.startTag < next.startTag) next = flow;
    }
    return next;
  }

  /**
   * Removes empty flows whose last request is charged for. Until then a flow's
   * start tag delays its next request.
   */
  #removeIdleFlows(): void {
    for (const [name, flow] of this.#flows) {
      const isCharged = flow.startTag <= this.#virtualTime || this.#size === 0;
      if (flow.tickets.length === 0 && isCharged) this.#flows.delete(name);
    }
  }
}

function findPosition<Ticket extends QueuedTicket>(
  flow: Flow<Ticket>,
  priority: number,
): number {
  const position = flow.tickets.findIndex((other) => other.priority < priority);
  return position < 0 ? flow.tickets.length : position;
}

/** Whether this process reaches the instances of a service. */
export type LinkState = "sound" | "doubted" | "lost";

/** A round of probes that is due for a service. */
export interface DueLinkProbe {
  readonly service: string;
  /** Number of instances to probe. */
  readonly count: number;
}

/** A change of the state of a service's links. */
export interface LinkChange {
  readonly service: string;
  readonly state: "lost" | "restored";
  /** Time for which the links were lost. */
  readonly lostMs?: number;
}

interface ServiceLinks {
  state: LinkState;
  /** Time of the last bytes from any instance, or answered probe. */
  heardAtMs: number;
  /** Time of the last round of probes. */
  probedAtMs: number;
  isProbing: boolean;
  /** Requests in progress. */
  inProgress: number;
  /** Time since which any request has been in progress. */
  busySinceMs: number;
  /** Whether a request failed since the last round. */
  hasFailure: boolean;
  /** Rounds in a row that were answered while the links are lost. */
  answeredRounds: number;
  lostAtMs: number;
  restoredAtMs: number;
}

/** Silence of all requests in progress after which links are probed. */
const MAX_SILENCE_MS = 400;
/** Time without any sign of life after which idle links are probed. */
const IDLE_PROBE_AFTER_MS = 1_000;
/** Shortest time between two rounds while links are sound. */
const SOUND_INTERVAL_MS = 400;
/** The same while links are doubted or lost. */
const DOUBTED_INTERVAL_MS = 100;
const LOST_INTERVAL_MS = 250;
/** Answered rounds in a row after which lost links are sound again. */
const RESTORED_AFTER_ROUNDS = 2;
/** Time in which requests return to restored links little by little. */
const RETURN_MS = 1_000;
/** Instances that a round probes, by the state of the links. */
const PROBED_INSTANCES: Readonly<Record<LinkState, number>> = {
  sound: 2,
  doubted: 8,
  lost: 2,
};

/**
 * Tells a process that lost its own links from back ends that are gone. Links
 * are lost if two rounds of probes on new connections in a row are answered by
 * no instance, the second of which asks many. Rounds begin when requests fail or hear nothing, and while there
 * are none, so that no caller's request has to find out.
 */
export class BackendLinks {
  readonly #services = new Map<string, ServiceLinks>();

  noteSent(service: string, nowMs: number): void {
    const links = this.#linksOf(service, nowMs);
    if (links.inProgress === 0) links.busySinceMs = nowMs;
    links.inProgress += 1;
  }

  /** Notes bytes of an instance, which show that some link is sound. */
  noteHeard(service: string, nowMs: number): void {
    this.#linksOf(service, nowMs).heardAtMs = nowMs;
  }

  /** Notes the end of a request, and whether its connection failed. */
  noteEnded(
    service: string,
    { hasFailed, nowMs }: {
      readonly hasFailed: boolean;
      readonly nowMs: number;
    },
  ): void {
    const links = this.#linksOf(service, nowMs);
    links.inProgress = Math.max(0, links.inProgress - 1);
    links.hasFailure ||= hasFailed;
  }

  /** Rounds of probes that are due; they count as under way until noted. */
  takeDueProbes(
    services: Iterable<string>,
    nowMs: number,
  ): readonly DueLinkProbe[] {
    const due: DueLinkProbe[] = [];
    for (const service of services) {
      const links = this.#linksOf(service, nowMs);
      if (links.isProbing || !isDue(links, nowMs)) continue;
      links.isProbing = true;
      links.probedAtMs = nowMs;
      links.hasFailure = false;
      due.push({ service, count: PROBED_INSTANCES[links.state] });
    }
    return due;
  }

  /** Notes the end of a round; returns the change that it brings about. */
  noteProbed(
    service: string,
    { isAnswered, nowMs }: {
      readonly isAnswered: boolean;
      readonly nowMs: number;
    },
  ): LinkChange | undefined {
    const links = this.#linksOf(service, nowMs);
    links.isProbing = false;
    links.probedAtMs = nowMs;
    return isAnswered
      ? noteAnswered(service, links, nowMs)
      : noteUnanswered(service, links, nowMs);
  }

  /** Ends a round, whether or not it told anything. */
  endProbe(service: string): void {
    const links = this.#services.get(service);
    if (links !== undefined) links.isProbing = false;
  }

  isLost(service: string): boolean {
    return this.#services.get(service)?.state === "lost";
  }

  /** Time for which links have been lost; 0 if they are not. */
  lostForMs(service: string, nowMs: number): number {
    const links = this.#services.get(service);
    return links?.state === "lost" ? nowMs - links.lostAtMs : 0;
  }

  /** Services with lost links. */
  listLost(): readonly string[] {
    return [...this.#services].filter(([, { state }]) => state === "lost")
      .map(([service]) => service);
  }

  /**
   * Share of the requests, from 0 to 1, that are to use this process's own
   * links. They return little by little, as many processes may do so at once.
   */
  ownShare(service: string, nowMs: number): number {
    const links = this.#services.get(service);
    if (links === undefined) return 1;
    if (links.state === "lost") return 0;
    return Math.min(1, (nowMs - links.restoredAtMs) / RETURN_MS);
  }

  /** Forgets services that are no longer configured. */
  keepOnly(isConfigured: (service: string) => boolean): void {
    for (const service of [...this.#services.keys()]) {
      if (!isConfigured(service)) this.#services.delete(service);
    }
  }

  #linksOf(service: string, nowMs: number): ServiceLinks {
    let links = this.#services.get(service);
    if (links === undefined) {
      links = {
        state: "sound",
        heardAtMs: nowMs,
        probedAtMs: nowMs,
        isProbing: false,
        inProgress: 0,
        busySinceMs: nowMs,
        hasFailure: false,
        answeredRounds: 0,
        lostAtMs: nowMs,
        restoredAtMs: Number.NEGATIVE_INFINITY,
      };
      this.#services.set(service, links);
    }
    return links;
  }
}

function isDue(links: ServiceLinks, nowMs: number): boolean {
  const sinceProbeMs = nowMs - links.probedAtMs;
  if (links.state === "lost") return sinceProbeMs >= LOST_INTERVAL_MS;
  if (links.state === "doubted") return sinceProbeMs >= DOUBTED_INTERVAL_MS;
  if (sinceProbeMs < SOUND_INTERVAL_MS) return false;
  const silentMs = nowMs - Math.max(links.heardAtMs, links.busySinceMs);
  const isSilent = links.inProgress > 0 && silentMs >= MAX_SILENCE_MS;
  const isIdle = links.inProgress === 0 &&
    nowMs - links.heardAtMs >= IDLE_PROBE_AFTER_MS;
  return links.hasFailure || isSilent || isIdle;
}

function noteAnswered(
  service: string,
  links: ServiceLinks,
  nowMs: number,
): LinkChange | undefined {
  links.heardAtMs = nowMs;
  if (links.state !== "lost") {
    links.state = "sound";
    return undefined;
  }
  links.answeredRounds += 1;
  if (links.answeredRounds < RESTORED_AFTER_ROUNDS) return undefined;
  links.state = "sound";
  links.restoredAtMs = nowMs;
  return { service, state: "restored", lostMs: nowMs - links.lostAtMs };
}

function noteUnanswered(
  service: string,
  links: ServiceLinks,
  nowMs: number,
): LinkChange | undefined {
  links.answeredRounds = 0;
  if (links.state === "lost") return undefined;
  if (links.state === "sound") {
    links.state = "doubted";
    return undefined;
  }
  links.state = "lost";
  links.lostAtMs = nowMs;
  return { service, state: "lost" };
}

import type { CutMode, HeadLimits, LinkFault } from "@celerytray/fakes";

/** Faults of the store. */
export const storeFaults = [
  "out",
  "slow",
  "loses-answers",
  "forgets-history",
  "refuses-some",
] as const;

/** Faults and changes that the soak applies. */
export type FaultAction =
  | { readonly kind: "terminate" | "kill" | "pause"; readonly process: string }
  | {
    readonly kind: "link";
    readonly endpoint: "callers" | "store" | "instance";
    readonly name: string;
    readonly fault: LinkFault;
  }
  | { readonly kind: "store"; readonly fault: typeof storeFaults[number] }
  | { readonly kind: "withdraw"; readonly key: string }
  | { readonly kind: "config" }
  | { readonly kind: "die" | "leave" | "cool"; readonly instance: string }
  | { readonly kind: "evacuate"; readonly zone: string }
  | { readonly kind: "burst" }
  | {
    readonly kind: "limit";
    readonly instance: string;
    readonly perSecond: number;
  }
  | { readonly kind: "poison"; readonly part: string }
  | { readonly kind: "deadly-request"; readonly body: string }
  /** SIGHUP, to a running process or during a start after a kill. */
  | { readonly kind: "reload" | "reload-start"; readonly process: string }
  /** The store comes back from a copy that is `ageMs` old. */
  | { readonly kind: "return"; readonly ageMs: number }
  | LateReturn
  | JoinedAnswers
  | CutLinks
  /** A route is added, and the one that was added last is dropped. */
  | { readonly kind: "route" }
  /** Requests of the plain service take long. */
  | { readonly kind: "slow-work"; readonly workMs: number }
  /** A sound instance sends nothing for a time, then goes on. */
  | { readonly kind: "silent-instance"; readonly instance: string }
  /** Heads have few places, and reset new connections while their queue is long. */
  | ({ readonly kind: "full-heads" } & HeadLimits)
  /** All model instances end but these, which are enough for one replica. */
  | { readonly kind: "one-replica"; readonly instances: readonly string[] }
  /** Streams pause after each event. */
  | { readonly kind: "slow-streams"; readonly pauseMs: number };

/** Processes lose their links to all instances. */
export interface CutLinks {
  readonly kind: "cut-links";
  readonly processes: readonly string[] | "leader";
  readonly mode: CutMode;
}

/**
 * Some instances write answers together with foreign bytes behind them, a second
 * response, or what breaks the answer off.
 */
export interface JoinedAnswers {
  readonly kind: "joined-answers";
  readonly instances: readonly string[];
  /** One in so many answers of these instances is so written. */
  readonly oneIn: number;
  /** Pause between the pieces of such an answer; 0 for a single write. */
  readonly pieceMs: number;
}

/**
 * The store comes back from an older copy that lacks the last changes of the
 * configuration and that an instance leaves. What it lacks is written anew
 * later, and one process reaches it later still.
 */
export interface LateReturn {
  readonly kind: "late-return";
  readonly ageMs: number;
  /** Instance that leaves before the store is away; its answers don't say so. */
  readonly instance: string;
  /** Time from the store's ack of that until the store is away. */
  readonly leaveBeforeMs: number;
  /** Whether the instance removes its entry instead of draining. */
  readonly isUnlisted: boolean;
  /** Time from the return until the instances and the operator write anew. */
  readonly rewriteAfterMs: number;
  readonly lateProcess: string;
  /** Time from the return until that process reaches the store. */
  readonly lateMs: number;
  /** Whether the store deletes the old records after the return. */
  readonly deletesRecords: boolean;
  /** Further routes of the configuration, which nobody calls. */
  readonly idleRoutes: number;
}

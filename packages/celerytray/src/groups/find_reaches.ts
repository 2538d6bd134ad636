import { Effect } from "effect";
import type { InstanceListView } from "./instance_list.ts";
import type { InstanceAddress, InstanceControl } from "./instance_orders.ts";
import type { InstanceState } from "./instance_state.ts";

/**
 * Whether a process reaches an instance. `unknown`: it reaches no other
 * instance either, so that its own links may be lost.
 */
export type Reach = "answered" | "unanswered" | "unknown";

/** Whether a process reaches instances, by their identifiers. */
export type Reaches = Readonly<Record<string, Reach>>;

/** What is known of whether others reach an instance that is silent here. */
export type LossVerdict =
  /** Another process reaches it. */
  | "reached"
  /** No process that reaches other instances reaches it. */
  | "unreached"
  /** No process can tell. */
  | "unknown";

/** Dependencies of `findReaches`. */
export interface FindReachesOptions {
  readonly instances: Pick<InstanceListView, "find" | "list">;
  readonly control: Pick<InstanceControl, "probe">;
  /** Whether a head has sent this process an event within the last second. */
  readonly hasWritten?: (headId: string) => boolean;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Other instances that are probed, to tell a lost link from a lost instance. */
const REFERENCES = 2;

/**
 * Probes instances, and others of their services for comparison. Only where
 * there is no other at all, one without an answer counts as not reached. Members
 * of a replica that writes are reached: it needs them all.
 */
export function findReaches(
  asked: readonly InstanceAddress[],
  options: FindReachesOptions,
): Effect.Effect<Reaches> {
  const { control } = options;
  const references = selectReferences(asked, options);
  const isAnswered = (instance: InstanceAddress) =>
    isWorking(instance, options) ? Effect.succeed(true) : control.probe({
      id: instance.id,
      address: instance.address,
    }).pipe(
      Effect.match({ onSuccess: () => true, onFailure: () => false }),
    );
  return Effect.map(
    Effect.forEach([...asked, ...references], isAnswered, {
      concurrency: "unbounded",
    }),
    (answers) => {
      const isOnlyOne = asked.length + references.length === 1;
      const canTell = isOnlyOne || answers.includes(true);
      return Object.fromEntries(
        asked.map(({ id }, index) => [id, describe(answers[index]!, canTell)]),
      );
    },
  );
}

/** Whether the replica of an instance has just written for this process. */
function isWorking(
  { id }: InstanceAddress,
  { instances, hasWritten = () => false }: FindReachesOptions,
): boolean {
  const replica = instances.find(id)?.membership?.replica;
  return replica !== undefined &&
    instances.list().some(({ id, membership }) =>
      membership?.replica === replica && membership.rank === 0 && hasWritten(id)
    );
}

function describe(isAnswered: boolean, canTell: boolean): Reach {
  if (isAnswered) return "answered";
  return canTell ? "unanswered" : "unknown";
}

/** Selects instances of other fabric domains first, as a domain fails at once. */
function selectReferences(
  asked: readonly InstanceAddress[],
  { instances, random }: Pick<FindReachesOptions, "instances" | "random">,
): readonly InstanceState[] {
  const askedIds = new Set(asked.map(({ id }) => id));
  const known = asked.flatMap(({ id }) => instances.find(id) ?? []);
  const services = new Set(known.map(({ service }) => service));
  const usedDomains = new Set(known.map(({ domain }) => domain));
  const others = instances.list().filter(({ id, service, isDraining }) =>
    !askedIds.has(id) && !isDraining &&
    (services.size === 0 || services.has(service))
  );
  const selected: InstanceState[] = [];
  while (selected.length < REFERENCES && others.length > 0) {
    const fresh = others.filter(({ domain }) => !usedDomains.has(domain));
    const choice = fresh.length > 0 ? fresh : others;
    const instance = choice[Math.floor(random() * choice.length)] ?? choice[0]!;
    others.splice(others.indexOf(instance), 1);
    usedDomains.add(instance.domain);
    selected.push(instance);
  }
  return selected;
}

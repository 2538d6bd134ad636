import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type {
  InstanceControl,
  InstanceListView,
  InstanceState,
} from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { BackendLinks, LinkChange } from "../serving/index.ts";

/** Dependencies of the watch on the links to back ends. */
export interface WatchLinksOptions {
  readonly links: BackendLinks;
  readonly instances: Pick<InstanceListView, "list">;
  /** Names of the configured services. */
  readonly services: () => Iterable<string>;
  readonly control: Pick<InstanceControl, "probe">;
  /** Whether this process was recently behind, so that answers may be unread. */
  readonly isBehind: (nowMs: number) => boolean;
  /** Called when links are lost or sound again. */
  readonly onChange: (change: LinkChange) => void;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

const CHECK_INTERVAL_MS = 50;

/** Probes back ends where it is in doubt whether this process reaches them. */
export function watchLinks(options: WatchLinksOptions): Effect.Effect<never> {
  const { links, services } = options;
  return Effect.scoped(Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    while (true) {
      const configured = new Set(services());
      links.keepOnly((service) => configured.has(service));
      const due = links.takeDueProbes(configured, readSteadyMs(clock));
      for (const { service, count } of due) {
        yield* Effect.forkScoped(probeService(options, { service, count }));
      }
      yield* Effect.sleep(CHECK_INTERVAL_MS);
    }
  }));
}

/** Probes some instances of a service, each over a new connection. */
function probeService(
  options: WatchLinksOptions,
  { service, count }: { readonly service: string; readonly count: number },
): Effect.Effect<void> {
  const { links, control, isBehind, onChange, record } = options;
  const probed = selectInstances(options, { service, count });
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const answers = yield* Effect.forEach(
      probed,
      ({ id, address }) =>
        control.probe({ id, address }).pipe(
          Effect.match({
            onSuccess: () => true,
            // Whoever answers at the address, the link to it is sound.
            onFailure: ({ reason }) => reason === "replaced",
          }),
        ),
      { concurrency: "unbounded" },
    );
    const nowMs = readSteadyMs(clock);
    const isAnswered = answers.includes(true);
    // Such a round tells nothing.
    if (probed.length === 0 || (!isAnswered && isBehind(nowMs))) return;
    const change = links.noteProbed(service, { isAnswered, nowMs });
    if (change === undefined) return;
    recordChange(change, record);
    onChange(change);
  }).pipe(
    Effect.ensuring(Effect.sync(() => links.endProbe(service))),
  );
}

function recordChange(change: LinkChange, record: RecordEvent): void {
  const { service, lostMs = 0 } = change;
  if (change.state === "lost") record("links.lost", { service });
  else record("links.restored", { service, lostMs });
}

/** Selects instances of other zones and fabric domains first. */
function selectInstances(
  { instances, random }: WatchLinksOptions,
  { service, count }: { readonly service: string; readonly count: number },
): readonly InstanceState[] {
  const listed = instances.list().filter((instance) =>
    instance.service === service
  );
  const selected: InstanceState[] = [];
  const used = new Set<string>();
  while (selected.length < count && listed.length > 0) {
    const fresh = listed.filter(({ zone, domain }) =>
      !used.has(`${zone} ${domain}`)
    );
    const choice = fresh.length > 0 ? fresh : listed;
    const instance = choice[Math.floor(random() * choice.length)] ?? choice[0]!;
    listed.splice(listed.indexOf(instance), 1);
    used.add(`${instance.zone} ${instance.domain}`);
    selected.push(instance);
  }
  return selected;
}

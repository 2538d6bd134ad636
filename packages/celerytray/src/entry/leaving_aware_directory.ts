import type { Instance } from "@celerytray/schema";
import type { InstanceDirectory } from "../backends/index.ts";
import { type ConfigStream, findInstanceDrain } from "../config/index.ts";
import type { MemberObservation } from "../fleet/index.ts";
import type { Membership } from "../membership/index.ts";

/** Sources of the leaving state of back ends. */
export interface LeavingSources {
  readonly directory: InstanceDirectory;
  readonly config: Pick<ConfigStream, "current">;
  readonly membership: Membership;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: () => number;
}

/** Age above which the view is recomputed. */
const MAX_VIEW_AGE_MS = 200;

/**
 * The instance list, with each back end marked as leaving that is so according
 * to any source: the list, the engine, a peer or a drain. It returns the same
 * objects until something changes.
 */
export class LeavingAwareDirectory implements InstanceDirectory {
  readonly #sources: LeavingSources;
  #refreshedAtMs = -Infinity;
  #configVersion = -1;
  #sourceInstances: readonly Instance[] | undefined;
  #leavingKey = "";
  #all: readonly Instance[] = [];
  #byId: ReadonlyMap<string, Instance> = new Map();

  constructor(sources: LeavingSources) {
    this.#sources = sources;
  }

  readonly all = (): readonly Instance[] => {
    this.#refresh();
    return this.#all;
  };

  readonly byId = (): ReadonlyMap<string, Instance> => {
    this.#refresh();
    return this.#byId;
  };

  readonly readAtMs = (): number | undefined =>
    this.#sources.directory.readAtMs();

  #refresh(): void {
    const nowMs = this.#sources.nowMs();
    const { version } = this.#sources.config.current();
    const isFresh = nowMs - this.#refreshedAtMs < MAX_VIEW_AGE_MS &&
      version === this.#configVersion;
    if (isFresh) return;
    this.#refreshedAtMs = nowMs;
    this.#configVersion = version;
    const listed = this.#sources.directory.all();
    const leavingIds = listed
      .filter((instance) => this.#isLeaving(instance, nowMs))
      .map(({ instanceId }) => instanceId);
    const key = leavingIds.join(" ");
    if (listed === this.#sourceInstances && key === this.#leavingKey) return;
    this.#sourceInstances = listed;
    this.#leavingKey = key;
    this.#rebuild(listed, new Set(leavingIds));
  }

  #rebuild(
    listed: readonly Instance[],
    leavingIds: ReadonlySet<string>,
  ): void {
    this.#all = listed.map((instance) =>
      leavingIds.has(instance.instanceId)
        ? { ...instance, state: "leaving" }
        : instance
    );
    this.#byId = new Map(this.#all.map((each) => [each.instanceId, each]));
  }

  #isLeaving(instance: Instance, nowMs: number): boolean {
    if (instance.role === "entry") return instance.state === "leaving";
    const { config, membership, observations } = this.#sources;
    const { instanceId } = instance;
    const isReportedLeaving = instance.state === "leaving" ||
      observations.get(instanceId)?.status.leaving === true;
    if (isReportedLeaving) membership.noteLeaving(instanceId, nowMs);
    return isReportedLeaving ||
      membership.leaving.isLeaving(instanceId, nowMs) ||
      findInstanceDrain(config.current().config, instance) !== undefined;
  }
}

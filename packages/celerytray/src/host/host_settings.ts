/** Settings of a process on a machine of the deployment. */
export interface HostSettings {
  readonly nodeId: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Processor time that the process may use, in cores. */
  readonly cores: number;
  /** Memory beyond which the process is killed. */
  readonly memoryMb: number;
  /** IP:PORT for callers. */
  readonly callerAddress: string;
  /** IP:PORT on which readiness is asked. */
  readonly readyAddress: string;
  /** IP:PORT for other processes of this system. */
  readonly peerAddress: string;
  /** IP:PORT on which metrics are read. */
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMs: number;
  /** Time for which an instance that drains works on at least. */
  readonly drainMs: number;
  /** Time after which a key that was taken away must be refused. */
  readonly keyRevocationMs: number;
  /** Repeats allowed over all machines, as a share of the requests. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Repeats allowed in a window beside that share. */
  readonly retrySlackRequests: number;
  /** Factor on the rate of a cold instance that all machines may reach. */
  readonly coldOvershoot: number;
  /** Requests a second beside that rate. */
  readonly coldSlackRequests: number;
}

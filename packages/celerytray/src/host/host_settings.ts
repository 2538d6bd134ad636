/** Settings of a process on a machine of the deployment. */
export interface HostSettings {
  readonly nodeId: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** CPU time that the process may use, in cores. */
  readonly cores: number;
  /** Memory beyond which the process is killed. */
  readonly memoryMb: number;
  /** File descriptors that the process may open, connections included. */
  readonly maxDescriptors: number;
  /** IP:PORT for callers. */
  readonly callerAddress: string;
  /** IP:PORT of the readiness endpoint. */
  readonly readyAddress: string;
  /** IP:PORT for other processes of the deployment. */
  readonly peerAddress: string;
  /** IP:PORT of the metrics endpoint. */
  readonly metricsAddress: string;
  readonly storeAddress: string;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMs: number;
  /** Shortest time for which a draining instance keeps serving. */
  readonly drainMs: number;
  /** Time after which a revoked key must be refused. */
  readonly keyRevocationMs: number;
  /** Time within which a configuration that the store accepted is in force. */
  readonly configApplyMs: number;
  /** Retries allowed over all machines, as a share of the requests. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Retries allowed within a window in addition to that share. */
  readonly retrySlackRequests: number;
  /**
   * Factor on the request rate of a cold instance that all machines together
   * may reach.
   */
  readonly coldOvershoot: number;
  /** Requests per second allowed in addition to that rate. */
  readonly coldSlackRequests: number;
}

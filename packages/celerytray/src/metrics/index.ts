/** StatsD metrics of an entry instance. */
export {
  createMetricsSender,
  type MetricName,
  METRICS,
  type MetricsSender,
} from "./metrics_sender.ts";

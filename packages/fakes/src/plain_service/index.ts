/** Fake plain service. */
export {
  type PlainFaults,
  type PlainRun,
  serveFakePlainService,
} from "./serve_fake_plain_service.ts";

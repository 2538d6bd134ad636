/** Stand-in of a plain service. */
export { serveFakePlainService } from "./serve_fake_plain_service.ts";

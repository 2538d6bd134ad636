/** Fake of the platform's instance list. */
export { serveFakeInstanceList } from "./serve_fake_instance_list.ts";

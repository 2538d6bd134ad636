import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { AdminRouter } from "./admin_handler.ts";

/** Client of an entry instance's administration server. */
export type AdminClient = TRPCClient<AdminRouter>;

/** Creates a client for IP:PORT that authenticates with a token. */
export function createAdminClient(
  options: { readonly address: string; readonly token: string },
): AdminClient {
  return createTRPCClient<AdminRouter>({
    links: [
      httpLink({
        url: `http://${options.address}`,
        headers: { authorization: `Bearer ${options.token}` },
      }),
    ],
  });
}

import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Finds loopback addresses with free ports. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return addresses;
}

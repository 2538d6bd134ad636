import { createServer } from "node:net";

const FIRST_PORT = 20_000;
const LAST_PORT = 29_999;
const MAX_OCTET = 250;

let nextPort = FIRST_PORT;

/**
 * Finds loopback addresses (IP:PORT) with free ports. Each process uses its own
 * loopback IP address and ports below the ephemeral port range, so that nothing
 * else binds an address between the search and its use.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const host = createOwnHost();
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = nextPort;
    nextPort = port === LAST_PORT ? FIRST_PORT : port + 1;
    if (await isFree(host, port)) addresses.push(`${host}:${port}`);
  }
  return addresses;
}

function createOwnHost(): string {
  const low = process.pid % MAX_OCTET;
  const middle = Math.floor(process.pid / MAX_OCTET) % MAX_OCTET;
  const high = Math.floor(process.pid / MAX_OCTET ** 2) % MAX_OCTET;
  return `127.${high + 1}.${middle + 1}.${low + 1}`;
}

function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

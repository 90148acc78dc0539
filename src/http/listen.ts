import { once } from 'node:events'
import type { AddressInfo, Server } from 'node:net'

/** Listens on `host:port` (0: a port the system chooses) and gives back the port in use. */
export async function listen (server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host)
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

import { once } from 'node:events'
import type { AddressInfo, Server } from 'node:net'

/** Listens on `host:port`, where port 0 lets the system choose, and returns the port in use. */
export async function listen (server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host)
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

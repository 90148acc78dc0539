import { isAddressGone } from '../http/is-address-gone.js'

/**
 * Whether nothing listens at a server's address any more, as after the end of its process. Were a connection that it takes while it
 * ends enough to hold it for alive, the request that ended it would go on to the next server with nothing held against it. So
 * the server has to answer.
 */
export async function isServerGone (url: string): Promise<boolean> {
  const { hostname, port, host } = new URL(url)
  return await isAddressGone({ host: hostname, port: Number(port), question: buildProbe(host) })
}

/**
 * A request that a server can read and that is no call of its own: it names no resource (RFC 9110, section 9.3.7), and its
 * unknown expectation lets the server turn it down before any handler (section 10.1.1).
 */
function buildProbe (host: string): string {
  return `OPTIONS * HTTP/1.1\r\nhost: ${host}\r\nexpect: refusal\r\nconnection: close\r\n\r\n`
}

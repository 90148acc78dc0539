import { isAddressGone } from '../../http/is-address-gone.js'

/**
 * Whether the server's process has exited, so that nothing listens at its address. Requires an answer to a probe, because
 * an exiting process may still accept connections. Taken for alive, its loss would not be recorded against the request
 * that crashed it.
 */
export async function isServerGone (url: string): Promise<boolean> {
  const { hostname, port, host } = new URL(url)
  return await isAddressGone({ host: hostname, port: Number(port), probe: buildProbe(host) })
}

/**
 * Builds a valid request that runs no handler: it names no resource (RFC 9110, section 9.3.7), and a server may reject its
 * unknown expectation at once (section 10.1.1).
 */
function buildProbe (host: string): string {
  return `OPTIONS * HTTP/1.1\r\nhost: ${host}\r\nexpect: refusal\r\nconnection: close\r\n\r\n`
}

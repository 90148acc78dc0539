/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Returns the headers to be forwarded: without hop-by-hop headers and those that the `Connection` header names. */
export function dropConnectionHeaders (headers: Headers): Record<string, string | string[]> {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()).filter(name => name !== '')
  const kept: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !CONNECTION_HEADERS.includes(name) && !named.includes(name)) kept[name] = value
  }
  return kept
}

import { isAddressGone } from '../http/is-address-gone.js'

/** Malformed: an HTTP server's parser answers it with 400 by itself, so that no call of the server's own is made. */
const QUESTION = '?\r\n\r\n'

/**
 * Whether nothing listens at a server's address any more, as after the end of its process. Were a connection that it takes while it
 * ends enough to hold it for alive, the request that ended it would go on to the next server with nothing held against it. So
 * the server has to answer.
 */
export async function isGone (url: string): Promise<boolean> {
  const { hostname, port } = new URL(url)
  return await isAddressGone({ host: hostname, port: Number(port), question: QUESTION })
}

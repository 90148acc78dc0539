import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { ResponseSink } from './response-sink.js'

/**
 * Relays a body to its end; fails if it is cut. A pipeline then closes the connection, which is the end of an answer whose end nothing
 * else marks, so that the bytes of such an answer are written one by one.
 */
export async function relayBody (body: Readable, res: ServerResponse, isEndMarked = true): Promise<void> {
  if (isEndMarked) return await pipeline(body, res)
  const sink = new ResponseSink(res)
  for await (const bytes of body) await sink.write(bytes as Buffer)
  sink.end()
}

import type { ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { sendStoreProblem } from './send-store-problem.js'

/**
 * Sends lines as they are read; returns whether all were sent. An error after the first line destroys the connection,
 * so that the caller doesn't take a partial response for the whole. An error before it is answered with status 503:
 * had the headers been sent already, the caller couldn't tell an outage from a network error.
 */
export async function sendLines (res: ServerResponse, lines: AsyncIterable<string>): Promise<boolean> {
  const iterator = lines[Symbol.asyncIterator]()
  const first = await iterator.next().catch(() => undefined)
  if (first === undefined) {
    sendStoreProblem(res, { type: 'unavailable', reason: 'reading the first lines failed' })
    return false
  }
  res.writeHead(200, { 'content-type': 'application/jsonl' })
  try {
    await pipeline(Readable.from(readAll(first, iterator), { objectMode: true, highWaterMark: 1 }), res)
    return true
  } catch {
    res.destroy()
    return false
  }
}

async function * readAll (first: IteratorResult<string>, rest: AsyncIterator<string>): AsyncGenerator<string> {
  for (let next = first; next.done !== true; next = await rest.next()) yield next.value
}

import type { ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { sendStoreProblem } from './send-store-problem.js'

/**
 * Sends lines as fast as they are read, and says whether all were. An answer that fails on its way ends its connection,
 * so that nobody takes a part for the whole. One that fails before anything was sent is refused with when to come
 * back: with its head sent first, the caller saw a lost connection and couldn't tell an outage from its own network.
 */
export async function sendLines (res: ServerResponse, lines: AsyncIterable<string>): Promise<boolean> {
  const iterator = lines[Symbol.asyncIterator]()
  const first = await iterator.next().catch(() => undefined)
  if (first === undefined) {
    sendStoreProblem(res, { type: 'unavailable', reason: 'the first lines were not read' })
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

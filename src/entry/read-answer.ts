import { Readable } from 'node:stream'
import type { ServerAnswer } from '../routing/exchanges/server-answer.js'

/** The body of an answer: complete, longer than the limit with the rest still to be streamed, or cut before either. */
type CollectedAnswer =
  | { readonly type: 'whole', readonly body: Buffer }
  | { readonly type: 'long', readonly body: Readable }
  | { readonly type: 'cut' }

/** Reads the body of an answer, buffering at most `limit` bytes plus the chunk that exceeds it. */
export async function readAnswer (answer: ServerAnswer, limit: number): Promise<CollectedAnswer> {
  const parts: Buffer[] = []
  const source = (answer.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]()
  try {
    for (let size = 0; size <= limit;) {
      const next = await source.next()
      if (next.done === true) {
        answer.end(true)
        return { type: 'whole', body: Buffer.concat(parts) }
      }
      parts.push(next.value)
      size += next.value.length
    }
    return { type: 'long', body: Readable.from(readRest(parts, source, answer), { objectMode: false }) }
  } catch {
    answer.end(false)
    return { type: 'cut' }
  }
}

async function * readRest (parts: readonly Buffer[], source: AsyncIterator<Buffer>, answer: ServerAnswer): AsyncGenerator<Buffer> {
  let whole = false
  try {
    yield * parts
    for (let next = await source.next(); next.done !== true; next = await source.next()) yield next.value
    whole = true
  } finally {
    answer.end(whole)
  }
}

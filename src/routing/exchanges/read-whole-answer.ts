import { Readable } from 'node:stream'
import { Ok, type Result } from 'ts-results'
import { findStreamFault } from '../streams/find-stream-fault.js'
import { SseSplitter } from '../streams/sse-splitter.js'
import { checkBody } from './check-body.js'
import type { OpenExchange } from './open-exchange.js'
import type { SendFailure } from './send-failure.js'

/** Longest answer that is buffered until it is complete, bytes. */
const MAX_BUFFERED_BYTES = 4_000_000

interface WholeAnswer {
  readonly body: Readable
  /** Completion tokens as counted by the server; 0 if it reports none. */
  readonly tokens: number
}

/**
 * Reads an answer to its end before any of it is relayed, so that the request can still be retried or refused if the answer
 * is cut. Streams and answers that exceed the buffer are relayed as they arrive; their body fails if it is cut.
 * `getTimeout` returns the longest wait for each read, ms.
 */
export async function readWholeAnswer (open: OpenExchange, getTimeout: () => number): Promise<Result<WholeAnswer, SendFailure>> {
  const parts: Buffer[] = []
  let size = 0
  while (size <= MAX_BUFFERED_BYTES && !open.exchange.isStream()) {
    const bytes = await open.exchange.read(getTimeout())
    if (bytes.err) return bytes
    if (bytes.val === undefined) {
      const whole = checkBody(open.exchange, Buffer.concat(parts))
      if (whole.err) return whole
      const body = whole.val
      return Ok({ body: Readable.from([body], { objectMode: false }), tokens: readTokens(body) })
    }
    parts.push(bytes.val)
    size += bytes.val.length
  }
  return Ok({ body: Readable.from(readRest(open, parts, getTimeout), { objectMode: false }), tokens: 0 })
}

async function * readRest (open: OpenExchange, parts: readonly Buffer[], getTimeout: () => number): AsyncGenerator<Buffer> {
  yield * parts
  const splitter = open.exchange.isStream() ? new SseSplitter() : undefined
  let hasEvents = false
  for (;;) {
    const bytes = await open.exchange.read(getTimeout())
    const fault = bytes.ok && bytes.val === undefined && splitter !== undefined ? findStreamFault({ framing: open.exchange.framing, isAtBoundary: splitter.isAtBoundary, hasEvents }) : undefined
    const failure = bytes.err ? bytes.val : fault === undefined ? undefined : { why: 'cut', sent: true, detail: fault } as const
    if (failure !== undefined) return await failBody(open, failure)
    const part = bytes.unwrap()
    if (part === undefined) return
    if (splitter !== undefined && splitter.push(part).length > 0) hasEvents = true
    if (splitter?.isOverlong === true) return await failBody(open, { why: 'cut', sent: true, detail: 'an event has no end' })
    yield part
  }
}

async function failBody (open: OpenExchange, failure: SendFailure): Promise<never> {
  await open.fail(failure)
  throw new Error(failure.detail)
}

function readTokens (body: Buffer): number {
  try {
    const tokens = JSON.parse(body.toString()).usage?.completion_tokens
    return typeof tokens === 'number' ? tokens : 0
  } catch {
    return 0
  }
}

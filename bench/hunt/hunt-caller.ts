import { randomInt } from 'node:crypto'
import { request } from 'undici'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'
import { dropMarks } from './drop-marks.js'
import type { HuntSend } from './hunt-send.js'

const MODEL = 'berth-assistant'
const TOKENS = 24
const MAX_ATTEMPTS = 10
const MAX_PAUSE = 2_000 // ms
const MIN_PAUSE = 100 // ms
/** Time in ms for which an address that gave no response is avoided while there are others. */
const AVOID_TIME = 2_000
const MS_PER_SECOND = 1_000
const END_OF_STREAM = 'data: [DONE]'

type RequestKind = 'whole' | 'stream' | 'plain' | 'booking'

interface HuntCallerOptions {
  /** Returns the current entry addresses with the names of their daemons. */
  readonly addresses: () => ReadonlyArray<{ readonly daemon: string, readonly url: string }>
  /** Returns the time in ms since the start of the hunt. */
  readonly now: () => number
  /** Timeout of one attempt, ms. */
  readonly timeout: number
}

/** Sends online requests, retries them where that is allowed, and records every attempt. */
export class HuntCaller {
  readonly sends: HuntSend[] = []
  /** When each address last failed to respond. */
  private readonly failedAt = new Map<string, number>()

  constructor (private readonly options: HuntCallerOptions) {}

  /** Sends a request until it is answered, may not be retried, or has used up its attempts; false in the last case. */
  async ask (kind: RequestKind, n: number): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const { send, retryAfter } = await this.send(kind, n, attempt)
      this.sends.push(send)
      if (send.outcome === 'answered' || send.ran === 'ran') return true
      if (kind === 'booking' && send.ran === 'unknown' && send.status === 502) return true
      await new Promise(resolve => setTimeout(resolve, Math.max(MIN_PAUSE, Math.min(MAX_PAUSE, retryAfter))))
    }
    return false
  }

  private async send (kind: RequestKind, n: number, attempt: number): Promise<{ readonly send: HuntSend, readonly retryAfter: number }> {
    const { now, timeout } = this.options
    const { daemon, url } = this.chooseAddress()
    const name = `${kind}-${n}`
    const at = now()
    const base = { id: `${name}.${attempt}.${this.sends.length}.${randomInt(1e9)}`, request: name, daemon, at }
    try {
      const { method, path, headers, body } = createRequest(kind, n)
      const response = await request(url + path, {
        method,
        headers: { authorization: 'Bearer quay-desk-token', 'content-type': 'application/json', 'x-request-id': base.id, ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeout)
      })
      const text = await response.body.text()
      const send = { ...base, took: now() - at, status: response.statusCode }
      if (response.statusCode >= 300) return { send: { ...send, outcome: 'refused', ran: readRan(text) }, retryAfter: Number(response.headers['retry-after'] ?? 0) * MS_PER_SECOND }
      if (kind === 'stream' && !text.trimEnd().endsWith(END_OF_STREAM)) return { send: { ...send, outcome: 'cut' }, retryAfter: 0 }
      return { send: { ...send, outcome: 'answered', ...checkContent(kind, n, text) }, retryAfter: 0 }
    } catch {
      this.failedAt.set(url, now())
      return { send: { ...base, took: now() - at, outcome: 'no answer' }, retryAfter: 0 }
    }
  }

  private chooseAddress (): ReturnType<HuntCallerOptions['addresses']>[number] {
    const { addresses, now } = this.options
    const known = addresses()
    const responsive = known.filter(({ url }) => now() > (this.failedAt.get(url) ?? -Infinity) + AVOID_TIME)
    const choice = responsive.length > 0 ? responsive : known
    return choice[randomInt(choice.length)]!
  }
}

function createRequest (kind: RequestKind, n: number): { readonly method: 'GET' | 'POST', readonly path: string, readonly headers?: Readonly<Record<string, string>>, readonly body?: unknown } {
  switch (kind) {
    case 'plain': return { method: 'GET', path: `/services/tides/day/${n}` }
    case 'booking': return { method: 'POST', path: '/services/bookings/slots', headers: { 'idempotency-key': `booking-${n}` }, body: { slot: n } }
    case 'whole':
    case 'stream': return { method: 'POST', path: '/v1/chat/completions', body: { model: MODEL, stream: kind === 'stream', max_tokens: TOKENS, messages: [{ role: 'user', content: writePrompt(n) }] } }
  }
}

function writePrompt (n: number): string {
  return `Which berth is free on day ${n}?`
}

/** Compares an answer with what is expected, and returns the error, if any, with the fields that the checks compare. */
function checkContent (kind: RequestKind, n: number, text: string): Pick<HuntSend, 'wrong' | 'marked' | 'text'> {
  const got = readContent(kind, text)
  const find = (got: string, expected: string): string | undefined => got === expected ? undefined : text.slice(0, 200)
  switch (kind) {
    case 'plain': return { wrong: find(got, `/day/${n}`) }
    case 'booking': return { wrong: find(got, JSON.stringify({ slot: n })), text }
    case 'whole':
    case 'stream': return { wrong: find(dropMarks(got), createAnswerWords(writePrompt(n), TOKENS).join(' ')), marked: got }
  }
}

function readContent (kind: RequestKind, text: string): string {
  switch (kind) {
    case 'plain': return JSON.parse(text).path
    case 'booking': return JSON.parse(text).echo
    case 'whole': return JSON.parse(text).choices[0].message.content
    case 'stream': return text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)).choices?.[0]?.delta?.content ?? '').join('')
  }
}

function readRan (text: string): HuntSend['ran'] {
  try {
    return JSON.parse(text).ran
  } catch {
    return undefined
  }
}

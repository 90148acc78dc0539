import { createAnswerWords } from '../stand-ins/engine/create-answer-words.js'
import type { Caller } from './caller.js'
import type { Checks } from './checks.js'

const END_OF_STREAM = 'data: [DONE]'

/** The bookings that the demo sent, to compare them with the log of their server. */
interface OnlineWork { readonly bookings: readonly { readonly slot: number, readonly answers: readonly string[] }[] }

/** Sends `count` online requests of every kind from several callers, in concurrent groups, and checks each answer. */
export async function runOnlineWork (callers: readonly Caller[], count: number, checks: Checks): Promise<OnlineWork> {
  const kinds = [askWhole, askStream, askPlain] as const
  const failures: string[] = []
  const bookings: { slot: number, answers: string[] }[] = []
  const group = 20
  for (let start = 0; start < count; start += group) {
    await Promise.all(Array.from({ length: Math.min(group, count - start) }, async (_, i) => {
      const n = start + i
      const caller = callers[n % callers.length]!
      if (n % 4 === 3) bookings.push({ slot: n, answers: await sendTwice(callers, n) })
      else failures.push(...await kinds[n % 4]!(caller, n))
    }))
  }
  checks.expect(failures.length === 0, `${count - bookings.length} online requests got their own complete answer`, failures.slice(0, 3).join('; '))
  return { bookings }
}

async function askWhole (caller: Caller, n: number): Promise<string[]> {
  const prompt = `When is high tide on day ${n}?`
  const { status, text, sends } = await caller.send('POST', '/v1/chat/completions', createChatBody(prompt, false))
  const expected = createAnswerWords(prompt, 8).join(' ')
  return status === 200 && JSON.parse(text).choices[0].message.content === expected ? [] : [`whole ${n}: ${status} after ${sends} sends: ${text.slice(0, 120)}`]
}

async function askStream (caller: Caller, n: number): Promise<string[]> {
  const prompt = `Which berth is free on day ${n}?`
  const { status, text, sends } = await caller.send('POST', '/v1/chat/completions', createChatBody(prompt, true))
  const got = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)).choices?.[0]?.delta?.content ?? '').join('')
  const whole = status === 200 && text.trimEnd().endsWith(END_OF_STREAM) && got === createAnswerWords(prompt, 8).join(' ')
  return whole ? [] : [`stream ${n}: ${status} after ${sends} sends: ${text.slice(-120)}`]
}

async function askPlain (caller: Caller, n: number): Promise<string[]> {
  const { status, text } = await caller.send('GET', `/services/tides/day/${n}`)
  return status === 200 && JSON.parse(text).path === `/day/${n}` ? [] : [`plain ${n}: ${status} ${text.slice(0, 120)}`]
}

/** Sends one booking twice at the same time with the same idempotency key. */
async function sendTwice (callers: readonly Caller[], n: number): Promise<string[]> {
  const caller = callers[n % callers.length]!
  const send = async (): Promise<string> => {
    const { status, text } = await caller.send('POST', '/services/bookings/slots', { slot: n }, { 'idempotency-key': `booking-${n}` })
    return `${status} ${text}`
  }
  return await Promise.all([send(), send()])
}

function createChatBody (prompt: string, stream: boolean): unknown {
  return { model: 'berth-assistant', stream, max_tokens: 8, messages: [{ role: 'user', content: prompt }] }
}

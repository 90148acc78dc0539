import { performance } from 'node:perf_hooks'
import { request, type Dispatcher } from 'undici'
import type { Arrival } from './arrival.js'
import type { LoadOutcome } from './load-outcome.js'

const TIMEOUT = 60_000 // ms
const END_OF_STREAM = 'data: [DONE]'

/** Sends one planned request to an entry address and reads its whole answer. Never throws: a failure is returned as an outcome. */
export async function sendArrival (arrival: Arrival, { url, model, dispatcher }: { readonly url: string, readonly model: string, readonly dispatcher?: Dispatcher }): Promise<LoadOutcome> {
  const start = performance.now()
  const base = { id: arrival.id, at: arrival.at }
  try {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher,
      signal: AbortSignal.timeout(TIMEOUT),
      headers: { authorization: `Bearer ${arrival.caller}`, 'content-type': 'application/json', 'x-request-id': arrival.id },
      body: JSON.stringify({ model, stream: arrival.stream, max_tokens: arrival.tokens, messages: [{ role: 'user', content: arrival.prompt }] })
    })
    const times: number[] = []
    let text = ''
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      times.push(performance.now() - start)
      text += chunk.toString()
    }
    const total = performance.now() - start
    if (response.statusCode >= 300) return { ...base, outcome: 'refused', status: response.statusCode, total, ...readRefusal(text, response.headers['retry-after']) }
    if (!arrival.stream) return { ...base, outcome: 'answered', status: 200, firstToken: total, total, text }
    if (!text.trimEnd().endsWith(END_OF_STREAM)) return { ...base, outcome: 'cut', cause: 'the stream ended early', total, text }
    return { ...base, outcome: 'answered', status: 200, firstToken: times[0], gaps: times.slice(1).map((time, i) => time - times[i]!), total, text }
  } catch (error) {
    return { ...base, outcome: 'lost', cause: (error as Error).message, total: performance.now() - start }
  }
}

function readRefusal (text: string, retryAfter: string | string[] | undefined): Pick<LoadOutcome, 'cause' | 'notRun' | 'retryAfter'> {
  const wait = retryAfter === undefined ? {} : { retryAfter: Number(retryAfter) }
  try {
    const problem = JSON.parse(text)
    return { cause: String(problem.title), notRun: problem.ran === 'not run', ...wait }
  } catch {
    return { cause: 'unreadable', notRun: false, ...wait }
  }
}

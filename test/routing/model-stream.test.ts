import test from 'ava'
import { request } from 'undici'
import { SseReader } from '../../src/routing/sse-reader.js'
import { answerWords } from '../../stand-ins/engine/answer-words.js'
import { DispatchBench } from '../helpers/dispatch-bench.js'

const TOKENS = 12
const PROMPT = 'When is high tide?'

async function setFaults (urls: readonly string[], faults: object): Promise<void> {
  for (const url of urls) await (await request(`${url}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })).body.dump()
}

/** Asks for a stream of `TOKENS` tokens; gives back its text, its last event and why it failed, if it did. */
async function readStream (bench: DispatchBench, prompt = PROMPT): Promise<{ readonly text: string, readonly last: string, readonly failure?: string, readonly counted: number }> {
  const answer = (await bench.dispatcher.send(bench.request(prompt, { stream: true, tokens: TOKENS }))).unwrap()
  const reader = new SseReader()
  const events: string[] = []
  for await (const bytes of answer.body) events.push(...reader.push(Buffer.from(bytes)).map(({ data }) => data))
  answer.end(true)
  const text = events.map(data => data.startsWith('{') ? JSON.parse(data).choices?.[0].delta.content ?? '' : '').join('')
  return { text, last: events.at(-1) ?? '', failure: answer.findFailure?.(), counted: answer.countTokens!() }
}

// The caller reads a stream whose server goes away, or says nothing more, after some tokens. The rest has to come
// from another server and begin at the very next token: a restart would repeat what the caller has already shown,
// and with an engine that samples would go on in other words.
for (const fault of [{ cutAfter: 0 }, { cutAfter: 3 }, { cutAfter: TOKENS - 1 }, { silenceAfter: 0 }, { silenceAfter: 3 }]) {
  test(`a stream goes on at another server from the next token: ${JSON.stringify(fault)}`, async t => {
    const { bench, urls, stop } = await DispatchBench.start(2)
    t.teardown(stop)
    const whole = answerWords(PROMPT, TOKENS).join(' ')
    for (const faulty of urls) {
      await setFaults(urls, {})
      await setFaults([faulty], fault)
      const { text, last, failure, counted } = await readStream(bench)
      t.is(text, whole)
      t.is(last, '[DONE]')
      t.is(failure, undefined)
      t.is(counted, TOKENS)
    }
  })
}

// Every server cuts after two tokens, so that the budget or the attempts run out in mid-answer. A reader that waits
// for the end of the body only would take what it has for the answer; the last event has to say that it isn't.
test('a stream that is given up ends with an error event and without [DONE]', async t => {
  const { bench, urls, stop } = await DispatchBench.start(2)
  t.teardown(stop)
  await setFaults(urls, { cutAfter: 2 })
  const { text, last, failure } = await readStream(bench)
  t.true(answerWords(PROMPT, TOKENS).join(' ').startsWith(text) && text !== '')
  t.is(failure, 'server failed')
  t.is(JSON.parse(last).error.code, 'server-failed')
  t.is(JSON.parse(last).ran, 'unknown')
})

// The engines of this model can't go on from given tokens. Starting anew would repeat or reword what was relayed.
test('a stream that is cut is never restarted where its engines cannot resume', async t => {
  const { bench, urls, stop } = await DispatchBench.start(2, { resume: false })
  t.teardown(stop)
  await setFaults(urls, { cutAfter: 3 })
  const { text, last } = await readStream(bench)
  t.is(text, answerWords(PROMPT, TOKENS).slice(0, 3).join(' '))
  t.regex(last, /can't resume/)
})

// Before its first token nothing has been shown, so any engine may start it anew.
test('a stream that was cut before its first token starts anew where engines cannot resume', async t => {
  const { bench, urls, stop } = await DispatchBench.start(2, { resume: false })
  t.teardown(stop)
  for (const faulty of urls) {
    await setFaults(urls, {})
    await setFaults([faulty], { silenceAfter: 0 })
    t.is((await readStream(bench)).text, answerWords(PROMPT, TOKENS).join(' '))
  }
})

// The second server counts only the tokens that it gave itself. A caller that pays by the usage of the last event
// has to see the tokens of both.
test('the usage of a resumed stream counts the tokens of every server', async t => {
  const { bench, urls, stop } = await DispatchBench.start(2)
  t.teardown(stop)
  for (const faulty of urls) {
    await setFaults(urls, {})
    await setFaults([faulty], { cutAfter: 3 })
    const body = Buffer.from(JSON.stringify({ model: 'assistant', stream: true, stream_options: { include_usage: true }, max_tokens: TOKENS, messages: [{ role: 'user', content: PROMPT }] }))
    const answer = (await bench.dispatcher.send(bench.request(PROMPT, { body }))).unwrap()
    const text = (await answer.body.toArray()).join('')
    answer.end(true)
    t.is(/"completion_tokens":(\d+)/.exec(text)?.[1], String(TOKENS))
    t.true(text.endsWith('data: [DONE]\n\n'))
  }
})

import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'

const MODEL = 'berth-assistant'
const PROMPT = 'When is high tide?'
const TOKENS = 100

// An engine is paused with its connections open. Guards against a stream or a complete answer that waits for it until the
// deadline.
test('another engine completes the stream and the answer of a paused engine', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const [first, second] = await Promise.all([
    ...[0, 1].map(async i => await fleet.addServer(`engine-${i}`, `domain-${i}`, { pool: 'charter-engines', kind: 'engine', options: { stepBase: 20 } })),
    fleet.addDaemon('entry-0', 'domain-0')
  ])
  await fleet.apply('demo/folder')
  const client = new CallerClient(fleet.url(fleet.daemons[0]!), 'quay-desk-token')
  const begin = performance.now()
  const streamed = client.chat(MODEL, PROMPT, { stream: true, tokens: TOKENS })
  const whole = client.chat(MODEL, PROMPT, { tokens: TOKENS })
  await fleet.waitUntil(async () => (await Promise.all([first!, second!].map(async server => (await fleet.readLog(server)).length))).reduce((sum, n) => sum + n, 0) === 2)
  const holder = (await fleet.readLog(first!)).length > 0 ? first! : second!
  t.is((await fleet.readLog(holder)).length, 2)
  holder.child.signal('SIGSTOP')

  const words = createAnswerWords(PROMPT, TOKENS).join(' ')
  const { text } = await streamed
  t.is(text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)).choices[0].delta.content).join(''), words)
  t.true(text.endsWith('data: [DONE]\n\n'))
  t.is(JSON.parse((await whole).text).choices[0].message.content, words)
  const time = performance.now() - begin
  t.true(time < 20_000)
  t.log({ time: Math.round(time) })
})

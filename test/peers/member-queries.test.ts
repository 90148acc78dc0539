import 'reflect-metadata'
import test from 'ava'
import { MemberQueries } from '../../src/peers/member-queries.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

interface Sent { readonly to: string, readonly message: PeerMessage }

/** The queries of one daemon; `handle` returns its own answers. */
function createQueries ({ concurrency, handle = async () => ({ value: 7 }) }: { concurrency?: number, handle?: () => Promise<{ value: number } | undefined> } = {}) {
  const clock = new VirtualClock()
  const sent: Sent[] = []
  const links = { send: (to: string, message: PeerMessage) => { sent.push({ to, message }) } }
  const queries = new MemberQueries({ links, clock, requestType: 'question', answerType: 'answer', timeout: 1_000, concurrency, handle, read: ({ value }) => Number(value) })
  const handlers = queries.extensions.map(({ value }) => value as PeerHandler)
  const deliver = (message: PeerMessage, from: string): void => handlers.find(({ type }) => type === message.type)?.handle(message, from)
  const answer = (to: string, value: number, from = to): void => deliver({ type: 'answer', id: sent.find(other => other.to === to)!.message.id, value }, from)
  return { clock, sent, queries, deliver, answer }
}

type Scene = ReturnType<typeof createQueries>

const CASES: Readonly<Record<string, { readonly run: (scene: Scene) => Promise<void> | void, readonly answers: readonly (readonly [string, number])[], readonly unresponsive: readonly string[], readonly after: number }>> = {
  'all answer': { run: ({ answer }) => { answer('b', 2); answer('a', 1) }, answers: [['b', 2], ['a', 1]], unresponsive: [], after: 0 },
  'one does not answer': { run: ({ answer }) => answer('b', 2), answers: [['b', 2]], unresponsive: ['a'], after: 1_000 },
  'neither answers': { run: () => {}, answers: [], unresponsive: ['a', 'b'], after: 1_000 },
  'an answer comes twice': { run: ({ answer }) => { answer('a', 1); answer('a', 5); answer('b', 2) }, answers: [['a', 1], ['b', 2]], unresponsive: [], after: 0 },
  'another daemon answers in its place': { run: ({ answer }) => { answer('a', 9, 'c'); answer('b', 2) }, answers: [['b', 2]], unresponsive: ['a'], after: 1_000 },
  'an answer comes too late': { run: async ({ clock, answer }) => { answer('b', 2); await clock.advance(1_000); answer('a', 1) }, answers: [['b', 2]], unresponsive: ['a'], after: 1_000 },
  'an answer to an unknown request': { run: ({ deliver, answer }) => { deliver({ type: 'answer', id: 99, value: 3 }, 'a'); answer('a', 1); answer('b', 2) }, answers: [['a', 1], ['b', 2]], unresponsive: [], after: 0 },
  'the caller stops': { run: ({ queries, answer }) => { answer('a', 1); queries.stop() }, answers: [['a', 1]], unresponsive: ['b'], after: 0 }
}

for (const [name, { run, answers, unresponsive, after }] of Object.entries(CASES)) {
  test(`a query of two members: ${name}`, async t => {
    const scene = createQueries()
    let ended: number | undefined
    const asked = scene.queries.ask(['b', 'a']).finally(() => { ended = scene.clock.now() })
    await scene.clock.advance(0)
    t.deepEqual(scene.sent.map(({ to, message: { type } }) => [to, type]), [['b', 'question'], ['a', 'question']])
    await run(scene)
    await scene.clock.advance(1_000)
    const result = await asked
    t.deepEqual([[...result.answers], result.unresponsive, ended], [answers, unresponsive, after])
  })
}

test('a query of no members resolves at once', async t => {
  const { queries, sent } = createQueries()
  t.deepEqual(await queries.ask([]), { answers: new Map(), unresponsive: [] })
  t.is(sent.length, 0)
})

test('requests in flight are limited; the next is sent when one is answered or times out', async t => {
  const { clock, queries, sent, answer } = createQueries({ concurrency: 1 })
  const asked = queries.ask(['a', 'b', 'c'])
  await clock.advance(0)
  t.deepEqual(sent.map(({ to }) => to), ['a'])
  answer('a', 1)
  await clock.advance(0)
  t.deepEqual(sent.map(({ to }) => to), ['a', 'b'])
  await clock.advance(1_000)
  t.deepEqual(sent.map(({ to }) => to), ['a', 'b', 'c'])
  answer('c', 3)
  const { answers, unresponsive } = await asked
  t.deepEqual([[...answers], unresponsive], [[['a', 1], ['c', 3]], ['b']])
})

test('a daemon answers with the id of the request, or not at all', async t => {
  const answering = createQueries()
  answering.deliver({ type: 'question', id: 4 }, 'a')
  await answering.clock.advance(0)
  t.deepEqual(answering.sent, [{ to: 'a', message: { type: 'answer', id: 4, value: 7 } }])
  const refusing = createQueries({ handle: async () => undefined })
  refusing.deliver({ type: 'question', id: 4 }, 'a')
  await refusing.clock.advance(0)
  t.deepEqual(refusing.sent, [])
})

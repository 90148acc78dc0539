import 'reflect-metadata'
import test from 'ava'
import type { OwnedJob } from '../../src/jobs/owned-job.js'
import { createJobRoute, simulateItems, type SimulatedServer } from '../helpers/simulate-items.js'

const DAEMONS = 8
const SERVERS = 12
/** When servers end, ms, and the share of them that ends each time. */
const CRASHES = [5_000, 11_000, 17_000].flatMap(at => [0, 400, 800, 1_200, 1_600].map(delay => at + delay))
const SHARE = 0.3
const JOB_PERIOD = 900
const PARTS = 30
/** Time after the last crash within which an item that hasn't ended must be at a server, ms: the users count one that failed at a server for 20 s as excused. */
const PLACED_AFTER = 20_000
const LAST_CRASH = CRASHES.at(-1)!

interface Case { readonly seed: number, readonly downtime: number, readonly hasRequests: boolean }

const cases: readonly Case[] = [
  { seed: 6, downtime: 400, hasRequests: false },
  { seed: 15, downtime: 6_500, hasRequests: true },
  { seed: 4, downtime: 400, hasRequests: true }
]

/** Lets servers with items crash in bursts; returns the items that were at no server since the last crash. */
async function play ({ seed, downtime, hasRequests }: Case): Promise<readonly string[]> {
  const servers: SimulatedServer[] = Array.from({ length: SERVERS }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 }))
  const fleet = await simulateItems({ seed, servers, daemons: DAEMONS })
  const { clock, random, names, routes, pass, crash, addJob, sends } = fleet
  routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  if (hasRequests) clock.every(100, () => pass(names[random.below(DAEMONS)]!, ['sound', `topic${random.below(6)}`]))
  const jobs: OwnedJob[] = []
  const add = (): void => {
    const [id, part, count] = [`j${jobs.length}`, random.below(PARTS), 4 + random.below(16)]
    jobs.push(addJob(id, { daemon: names[random.below(DAEMONS)]!, items: Array.from({ length: count }, (_, i) => ({ id: `${id}.${i}`, path: '/x', headers: { parts: `part${part},topic${random.below(40)}` }, body: 'eA==', tokens: 10 })) }))
  }
  for (let at = 500; at < LAST_CRASH; at += JOB_PERIOD) clock.after(at, add)
  for (const at of CRASHES) clock.after(at, () => { for (const server of servers) if (server.isListed && random.next() < SHARE) crash(server, downtime) })
  await clock.advance(LAST_CRASH + PLACED_AFTER)
  const placed = new Set(sends.filter(({ at }) => at > LAST_CRASH).map(({ item }) => item))
  return jobs.flatMap(({ items }) => items).filter(({ item, phase }) => phase !== 'ended' && !placed.has(item.id)).map(({ item }) => item.id)
}

for (const one of cases) {
  // Guards against items under which servers crashed in a burst, or whose prompts share a part with them, that nobody runs when all is calm.
  test(`items are placed again after bursts of crashes under them: ${JSON.stringify(one)}`, async t => {
    t.deepEqual(await play(one), [])
  })
}

/** Items that must end in each span, as a share of those that wait at its end: what the users take for progress. */
const SPAN = 5_000
const MIN_SHARE = 0.1
const ITEMS_EACH = 16

// Guards against items of a part that is refused wrongly which run one after the other though servers are free.
test('once an item has shown that a refused part is sound, the others follow quickly', async t => {
  const servers: SimulatedServer[] = Array.from({ length: SERVERS }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 }))
  const { clock, names, routes, pass, lose, addJob, sends, blames } = await simulateItems({ seed: 1, servers, daemons: DAEMONS })
  routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  for (let i = 0; i < 30 * DAEMONS; i++) clock.after((i % 100) * 4, () => pass(names[i % DAEMONS]!, ['sound']))
  for (let i = 0; i < 5; i++) clock.after(700 + i * 450, () => lose(['part'], `lost-${i}`))
  await clock.advance(3_000)
  t.is(blames.get('entry-1')!.listRefused().length, 1)
  const items = names.flatMap(name => addJob(`j-${name}`, { daemon: name, items: Array.from({ length: ITEMS_EACH }, (_, i) => ({ id: `${name}.${i}`, path: '/x', headers: { parts: 'part' }, body: 'eA==', tokens: 10 })) }).items)
  const count = (phase: OwnedJob['items'][number]['phase']): number => items.filter(state => state.phase === phase).length
  while (sends.length === 0) await clock.advance(100)
  while (count('waiting') > 0) {
    const before = count('ended')
    await clock.advance(SPAN)
    t.true(count('ended') - before >= MIN_SHARE * count('waiting'), `${count('ended') - before} ended, ${count('waiting')} wait`)
  }
})

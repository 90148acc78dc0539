import 'reflect-metadata'
import test from 'ava'
import type { WaitingReason } from '../../src/jobs/waiting-reason.js'
import { waitingReasonTypes } from '../../src/jobs/waiting-reason-types.js'
import { createJobRoute, simulateItems, type ItemFleet, type SimulatedServer } from '../helpers/simulate-items.js'

/** Time from a cause until the reason is shown, ms, and until a line is logged, with the period of checks. */
const SHOWN_AFTER = 600
const LOGGED_AFTER = 3_600
const PART = 'p'
/** When the last of four accusing servers is lost, ms. */
const LAST_LOSS = 1_450

interface Scene { readonly reason: WaitingReason['type'], readonly set: (fleet: ItemFleet) => void, /** Whether it ends before it is logged. */ readonly isShort?: boolean, /** What the line says that the item waits for. */ readonly shows: RegExp }

const createServer = (name: string, version: string): SimulatedServer => ({ name, pool: 'a', version, isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 })

function setAll ({ servers }: ItemFleet, change: Partial<SimulatedServer>): void {
  for (const server of servers) Object.assign(server, change)
}

function accuse ({ clock, pass, lose, names }: ItemFleet, count: number): void {
  for (let i = 0; i < 100; i++) clock.after(i * 2, () => pass(names[i % names.length]!, ['sound']))
  for (let i = 0; i < count; i++) clock.after(500 + i * 300, () => lose([PART], `lost-${i}`))
}

const scenes: readonly Scene[] = [
  { reason: 'slot', set: fleet => setAll(fleet, { isGranted: false }), shows: /slot at any server/ },
  { reason: 'version', set: fleet => { setAll(fleet, { isGranted: false }); addJob(fleet).applyProgress([{ id: 'i', last: 2, texts: ['x', 'x'], version: 'old', failures: 0 }]) }, shows: /version old/ },
  { reason: 'suspect part', set: fleet => { accuse(fleet, 1); fleet.starved.add('entry-0').add('entry-1'); fleet.clock.after(1_000, () => fleet.addJob('other', { daemon: 'entry-1', items: [createItem('o')] })) }, shows: /trial of part p/ },
  { reason: 'refused part', set: fleet => accuse(fleet, 4), shows: /refusal of part p/ },
  { reason: 'look-up', set: fleet => { const job = addJob(fleet); fleet.unread.add(job); job.lastRead = { unreachable: false } }, shows: /read of the store/ },
  { reason: 'route', set: ({ routes }) => { routes.a = undefined }, shows: /route/ },
  { reason: 'service', set: ({ routes }) => { routes.a = createJobRoute('/a/', [{ service: 'a', weight: 0 }]) }, shows: /weight/ },
  { reason: 'backoff', isShort: true, set: fleet => setAll(fleet, { behaviour: 'cuts' }), shows: /backoff/ },
  { reason: 'stopping', isShort: true, set: fleet => { setAll(fleet, { behaviour: 'is silent' }); fleet.clock.every(700, () => { for (const { name } of fleet.servers) fleet.revoke(name) }) }, shows: /stopped/ },
  { reason: 'storing', set: () => {}, shows: /result/ }
]

function createItem (id: string): { id: string, path: string, headers: Readonly<Record<string, string>>, body: string, tokens: number } {
  return { id, path: '/x', headers: { parts: PART }, body: '', tokens: 10 }
}

function addJob (fleet: ItemFleet): ReturnType<ItemFleet['addJob']> {
  return fleet.addJob('j', { daemon: 'entry-0', items: [createItem('i')] })
}

const countWaiting = (fleet: ItemFleet, reason: string): number => Number(new RegExp(`batch_items_waiting\\{reason="${reason}"\\} (\\d+)`).exec(fleet.metrics.get('entry-0')!.write())?.[1])

test('the table has every reason', t => {
  t.deepEqual(scenes.map(({ reason }) => reason).sort(), [...waitingReasonTypes].sort())
})

for (const { reason, set, isShort = false, shows } of scenes) {
  // Guards against items that wait without a sign of what for, in the metrics or in the log.
  test(`an item that waits is shown with its reason, what it waits for and since when: ${reason}`, async t => {
    const fleet = await simulateItems({ seed: 5, daemons: 2, servers: [createServer('a1', 'old'), createServer('a2', 'new')] })
    fleet.routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
    t.is(countWaiting(fleet, reason), 0)
    set(fleet)
    await fleet.clock.advance(2_500)
    if (![...fleet.lines].some(({ job }) => job === 'j') && !['version', 'look-up'].includes(reason)) addJob(fleet)
    let shownAt = Infinity
    const from = fleet.clock.now()
    for (let i = 0; i < 80; i++) {
      await fleet.clock.advance(50)
      if (countWaiting(fleet, reason) > 0) shownAt = Math.min(shownAt, fleet.clock.now())
    }
    t.true(shownAt <= from + SHOWN_AFTER + (reason === 'storing' ? 2_000 : 1_500), `shown after ${shownAt - from} ms`)
    if (isShort) return
    await fleet.clock.advance(LOGGED_AFTER)
    const line = fleet.lines.find(({ message, why }) => message === 'items wait' && why === reason)
    t.like(line, { job: 'j', items: ['i'], count: 1 })
    t.regex(String(line?.for), shows)
    t.true(Number(line?.waited) >= 3_000 && Number.isFinite(Date.parse(String(line?.since))))
  })
}

// Guards against a log that grows with the items that wait.
test('waiting items are logged once for each job, reason and ten seconds', async t => {
  const fleet = await simulateItems({ seed: 5, daemons: 1, servers: [] })
  fleet.routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  fleet.addJob('j', { daemon: 'entry-0', items: Array.from({ length: 200 }, (_, i) => createItem(`i${i}`)) })
  await fleet.clock.advance(60_000)
  const lines = fleet.lines.filter(({ message }) => message === 'items wait')
  t.true(lines.length >= 5 && lines.length <= 6, `${lines.length} lines`)
  t.true(lines.every(({ count, items }) => count === 200 && (items as readonly string[]).length === 20))
})

// Guards against items that crash one server after the other as trials of a part that is refused rightly.
test('items try a part that is refused rightly one at a time, 10 to 13 s after its last loss', async t => {
  const fleet = await simulateItems({ seed: 9, daemons: 3, servers: Array.from({ length: 6 }, (_, i) => ({ ...createServer(`a${i}`, 'new'), behaviour: 'crashes' as const })) })
  fleet.routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  accuse(fleet, 4)
  await fleet.clock.advance(2_500)
  t.deepEqual(fleet.names.map(name => fleet.blames.get(name)!.listRefused().length), [1, 1, 1])
  for (const daemon of fleet.names) fleet.addJob(`j-${daemon}`, { daemon, items: Array.from({ length: 5 }, (_, i) => createItem(`${daemon}.${i}`)) })
  await fleet.clock.advance(100_000)
  const waits = fleet.sends.map(({ at }, i) => at - (fleet.sends[i - 1]?.at ?? LAST_LOSS))
  t.true(waits.every(wait => wait >= 10_000 && wait <= 13_000), waits.join())
  t.true(fleet.sends.at(-1)!.at >= fleet.clock.now() - 13_000)
})

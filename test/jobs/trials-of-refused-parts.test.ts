import 'reflect-metadata'
import test from 'ava'
import { createJobRoute, simulateItems, type Behaviour, type ItemFleet, type SimulatedServer } from '../helpers/simulate-items.js'

const DAEMONS = 6
const SERVERS = 12
const ITEMS_EACH = 8
const PART = 'part'
const LOSSES = 4
const REFUSED_AT = 3_000
/** How long after the last server that it cost a part isn't tried, ms. */
const REFUSED_WAIT = 10_000
/** Servers that a part may cost at once. */
const MOST_LOST = 5
const SEEDS = [1, 2, 3, 4, 5, 6]

/** Lets a part be refused at all daemons, and jobs with it come there. */
async function simulateRefusal ({ seed, behaviour }: { readonly seed: number, readonly behaviour: Behaviour }): Promise<ItemFleet> {
  const servers: SimulatedServer[] = Array.from({ length: SERVERS }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour, batch: 0, online: 0 }))
  const fleet = await simulateItems({ seed, servers, daemons: DAEMONS })
  const { clock, names, routes, pass, lose, addJob } = fleet
  routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
  for (let i = 0; i < 30 * DAEMONS; i++) clock.after((i % 100) * 4, () => pass(names[i % DAEMONS]!, ['sound']))
  for (let i = 0; i < LOSSES; i++) clock.after(700 + i * 450, () => lose([PART], `lost-${i}`))
  await clock.advance(REFUSED_AT)
  for (const name of names) addJob(`j-${name}`, { daemon: name, items: Array.from({ length: ITEMS_EACH }, (_, i) => ({ id: `${name}.${i}`, path: '/x', headers: { parts: PART }, body: 'eA==', tokens: 10 })) })
  return fleet
}

// Guards against requests that are refused for the rest of a refusal though items have shown that the part is sound.
test('items that pass as trials of a refused part clear it for requests', async t => {
  for (const seed of SEEDS) {
    const { clock, names, blames, sends } = await simulateRefusal({ seed, behaviour: 'serves' })
    t.is(blames.get(names[0]!)!.check([PART]).type, 'refused')
    while (sends.length === 0) await clock.advance(100)
    await clock.advance(REFUSED_WAIT)
    t.deepEqual(names.map(name => blames.get(name)!.check([PART]).type), names.map(() => 'clear'), `seed ${seed}`)
  }
})

// Guards against a daemon that missed the reports of others and tries a part that crashes servers again and again.
test('a daemon that hears from no other tries a part that crashes servers only once in 10 s', async t => {
  for (const seed of SEEDS) {
    const { clock, sends, lost } = await simulateRefusal({ seed, behaviour: 'crashes' })
    lost.messages = 1
    await clock.advance(40_000)
    const times = new Map<string, readonly number[]>()
    for (const { at, daemon } of sends) times.set(daemon, [...times.get(daemon) ?? [], at])
    const waits = [...times.values()].flatMap(own => own.map((at, i) => at - (own[i - 1] ?? REFUSED_AT - 1_000)))
    t.true(waits.length >= DAEMONS && waits.every(wait => wait >= REFUSED_WAIT), `seed ${seed}: ${waits.map(Math.round).join()}`)
  }
})

// Guards against daemons that all try a part that crashes servers, one after the other, because they missed the reports of lost trials.
test('trials of a part that crashes servers cost at most five of them in 10 s though half of all messages are lost', async t => {
  for (const seed of SEEDS) {
    const { clock, sends, lost } = await simulateRefusal({ seed, behaviour: 'crashes' })
    lost.messages = 0.5
    await clock.advance(40_000)
    const most = Math.max(...sends.map(({ at: from }) => sends.filter(({ at }) => at >= from && at < from + REFUSED_WAIT).length))
    t.true(most > 0 && most <= MOST_LOST, `seed ${seed}: ${sends.map(({ at }) => Math.round(at)).join()}`)
  }
})

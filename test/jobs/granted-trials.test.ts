import 'reflect-metadata'
import test from 'ava'
import { createJobRoute, simulateItems, type SimulatedServer } from '../helpers/simulate-items.js'

const DAEMONS = 6
const PART = 'part'
/** Losses by which the part is refused, ms, and the time from the last of them until items may try it. */
const LOSSES = [700, 1_150, 1_600, 2_050]
const REFUSED_WAIT = 10_000
/** Time from the beginning of a run to its loss, and within which a trial that may run is granted or begun without an answer, ms. */
const LOSS_TIME = 50
const ASK_TIME = 600

// Guards against a grant that lapses, again and again, because the daemon that gets it has only items that wait for a trial and looks too seldom.
test('the trial of a refused part begins as soon as it may', async t => {
  const late: string[] = []
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const servers: SimulatedServer[] = Array.from({ length: 6 }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 }))
    const { clock, names, routes, pass, lose, addJob, sends } = await simulateItems({ seed, servers, daemons: DAEMONS })
    routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
    for (let i = 0; i < 30 * DAEMONS; i++) clock.after((i % 100) * 4, () => pass(names[i % DAEMONS]!, ['sound']))
    for (const [i, at] of LOSSES.entries()) clock.after(at, () => lose([PART], `lost-${i}`))
    await clock.advance(3_000)
    for (const name of names) addJob(`j-${name}`, { daemon: name, items: Array.from({ length: 4 }, (_, i) => ({ id: `${name}.${i}`, path: '/x', headers: { parts: PART }, body: 'eA==', tokens: 10 })) })
    await clock.advance(15_000)
    const delay = (sends[0]?.at ?? Infinity) - (LOSSES.at(-1)! + LOSS_TIME + REFUSED_WAIT)
    if (delay > ASK_TIME) late.push(`seed ${seed}: ${Math.round(delay)} ms`)
  }
  t.deepEqual(late, [])
})

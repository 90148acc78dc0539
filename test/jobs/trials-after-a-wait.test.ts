import 'reflect-metadata'
import test from 'ava'
import { createJobRoute, simulateItems, type SimulatedServer } from '../helpers/simulate-items.js'

const PART = 'part'
/** Servers that a part may cost. */
const MOST_LOST = 5
const ITEMS_EACH = 4

for (const daemons of [8, 24]) {
  for (const starvedFor of [0, 3_000, 15_000]) {
    for (const seed of [1, 2, 3]) {
      // Guards against items with a suspect part that all begin at once, each as a trial, when daemons that had no slots get some again.
      test(`items of ${daemons} daemons with a part that crashes servers cost no sixth one after ${starvedFor} ms without slots, seed ${seed}`, async t => {
        const servers: SimulatedServer[] = Array.from({ length: 40 }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'crashes', batch: 0, online: 0 }))
        const fleet = await simulateItems({ seed, servers, daemons })
        fleet.routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
        const { clock, pass, lose, names } = fleet
        for (let i = 0; i < 30 * names.length; i++) clock.after((i % 100) * 4, () => pass(names[i % names.length]!, ['sound']))
        clock.every(500, () => { for (const name of names) pass(name, ['sound']) })
        clock.after(700, () => lose([PART], 'lost-0'))
        for (const name of names) if (starvedFor > 0) fleet.starved.add(name)
        clock.after(1_500, () => { for (const name of names) fleet.addJob(`j-${name}`, { daemon: name, items: Array.from({ length: ITEMS_EACH }, (_, i) => ({ id: `${name}.${i}`, path: '/x', headers: { parts: PART }, body: 'eA==', tokens: 10 })) }) })
        clock.after(1_500 + starvedFor, () => fleet.starved.clear())
        await clock.advance(1_500 + starvedFor + 9_000)
        const lost = servers.filter(({ name }) => name.includes('+')).length + 1
        t.true(lost <= MOST_LOST, `${lost} servers were lost`)
      })
    }
  }
}

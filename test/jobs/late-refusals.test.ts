import 'reflect-metadata'
import test from 'ava'
import { createJobRoute, simulateItems, type SimulatedServer } from '../helpers/simulate-items.js'

const PART = 'part'
/** When the part is refused at the latest, and how long items wait for their trial after that, ms. */
const REFUSED_AT = 3_000
const WAIT = 10_000 + 3_600
/** A daemon is stopped again and again, ms, so that what others sent meanwhile reaches it late. */
const STOP_TIME = 4_000
const STOP_PERIOD = 8_000

for (const losses of [4, 8]) {
  // Guards against refusals that begin anew wherever a report of them arrives late, so that items never try the part.
  test(`items try a refused part in time though reports of its refusal and of ${losses} losses arrive late at one daemon`, async t => {
    const servers: SimulatedServer[] = Array.from({ length: 6 }, (_, i) => ({ name: `a${i}`, pool: 'a', version: 'new', isListed: true, isLeaving: false, isGranted: true, behaviour: 'serves', batch: 0, online: 0 }))
    const { clock, names, routes, pass, lose, addJob, sends, delays } = await simulateItems({ seed: 1, servers, daemons: 4 })
    routes.a = createJobRoute('/a/', [{ service: 'a', weight: 1 }])
    for (let i = 0; i < 30 * names.length; i++) clock.after((i % 100) * 4, () => pass(names[i % names.length]!, ['sound']))
    for (let i = 0; i < losses; i++) clock.after(700 + i * 250, () => lose([PART], `lost-${i}`))
    await clock.advance(REFUSED_AT)
    const last = names.at(-1)!
    const stop = (): void => {
      delays.set(last, STOP_TIME)
      clock.after(STOP_TIME, () => delays.delete(last))
    }
    stop()
    clock.every(STOP_PERIOD, stop)
    addJob('j', { daemon: names[0]!, items: Array.from({ length: 4 }, (_, i) => ({ id: `j.${i}`, path: '/x', headers: { parts: PART }, body: 'eA==', tokens: 10 })) })
    await clock.advance(60_000)
    t.true((sends[0]?.at ?? Infinity) <= REFUSED_AT + WAIT, `the first is sent at ${sends[0]?.at ?? 'no time'}`)
  })
}

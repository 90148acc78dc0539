import 'reflect-metadata'
import test from 'ava'
import { simulateItems } from '../helpers/simulate-items.js'

const STOP_TIME = 4_000
const STOP_PERIOD = 8_000

// Guards against one loss of a server that counts again wherever a report of it arrives late, until the part is refused.
test('one loss is no more than one though reports of it arrive late at a daemon that is stopped again and again', async t => {
  const { clock, names, pass, lose, blames, delays } = await simulateItems({ seed: 1, servers: [], daemons: 4 })
  for (let i = 0; i < 30 * names.length; i++) clock.after((i % 100) * 4, () => pass(names[i % names.length]!, ['sound']))
  clock.every(500, () => { for (const name of names) pass(name, ['sound']) })
  const last = names.at(-1)!
  const stop = (): void => {
    delays.set(last, STOP_TIME)
    clock.after(STOP_TIME, () => delays.delete(last))
  }
  clock.after(700, () => lose(['part'], 'lost'))
  clock.every(STOP_PERIOD, stop)
  for (let i = 0; i < 60; i++) {
    await clock.advance(1_000)
    t.deepEqual(names.flatMap(name => blames.get(name)!.listRefused().map(({ part }) => part)), [], `after ${clock.now()} ms`)
  }
})

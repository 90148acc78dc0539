import 'reflect-metadata'
import test from 'ava'
import { simulateItems, type ItemFleet } from '../helpers/simulate-items.js'

const LOSSES = 4
const TRIAL_WAIT = 10_000

/** Lets servers be lost one after another with the parts in flight, from a time on, ms. */
function accuse ({ clock, lose }: ItemFleet, part: string, from: number): void {
  for (let i = 0; i < LOSSES; i++) clock.after(from + i * 450, () => lose([part], `${part}-${i}`))
}

async function simulateBlame (): Promise<ItemFleet> {
  const fleet = await simulateItems({ seed: 1, servers: [] })
  const { clock, names, pass } = fleet
  for (let i = 0; i < 30 * names.length; i++) clock.after((i % 100) * 4, () => pass(names[i % names.length]!, ['sound']))
  accuse(fleet, 'former', 700)
  await clock.advance(3_000 + TRIAL_WAIT)
  return fleet
}

// Guards against items that crash servers by one refused part, because they have another whose trials have passed.
test('an item with two refused parts runs only if both may be tried', async t => {
  const fleet = await simulateBlame()
  const { clock, names, pass, blames } = fleet
  for (let i = 0; i < 3; i++) pass(names[0]!, ['former'])
  accuse(fleet, 'latter', 0)
  await clock.advance(3_000)
  const blame = blames.get(names[0]!)!
  t.deepEqual(blame.listRefused().map(({ part }) => part).sort(), ['former', 'latter'])
  blame.check(['former'], { isItem: true })
  await clock.advance(50)
  t.is(blame.check(['former'], { isItem: true }).type, 'clear')
  t.is(blame.check(['latter'], { isItem: true }).type, 'refused')
  t.is(blame.check(['former', 'latter'], { isItem: true }).type, 'refused')
})

// Guards against items that crash servers by a suspect part, several at once, because they have a refused one whose trials have passed.
test('an item with a suspect part and a refused one whose trials have passed is a trial of the suspect one', async t => {
  const fleet = await simulateBlame()
  const { clock, names, pass, lose, blames } = fleet
  for (let i = 0; i < 3; i++) pass(names[0]!, ['former'])
  await clock.advance(1_000)
  lose(['latter'], 'lost')
  await clock.advance(1_000)
  const blame = blames.get(names[0]!)!
  const check = (parts: readonly string[]): unknown => { const decision = blame.check(parts, { isItem: true }); return decision.type === 'clear' ? decision.trial : decision.type }
  check(['latter'])
  await clock.advance(50)
  t.is(check(['latter']), 'latter')
  t.is(check(['former', 'latter']), 'latter')
})

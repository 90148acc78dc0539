import 'reflect-metadata'
import test from 'ava'
import { RelayedStores } from '../helpers/relayed-stores.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const NAMES = ['entry-0', 'entry-1', 'entry-2', 'entry-3']
const LONG = 1_000_000
const WRITES = 60
const WRITE_PERIOD = 400
/** Outcomes that are returned only for writes that have not taken effect and never will. */
const WITHOUT_EFFECT = ['conflict', 'limited', 'unavailable']

// Guards against a write that has taken effect and is told as one that hasn't: one peer wrote it and its answer was lost, and the next one met that write.
for (const type of ['limited', 'busy', 'silent'] as const) {
  test(`a write that took effect at a peer without an answer isn't told as a conflict: own calls are ${type}`, async t => {
    const time = new VirtualClock()
    const stores = new RelayedStores(NAMES, time)
    const [client] = NAMES.map(name => stores.open(name, time))
    stores.store.troubles.push({ type, from: 0, to: LONG, hits: name => name === NAMES[0] }, { type: 'lost', from: 0, to: LONG, hits: name => name === NAMES[1] || name === NAMES[2] })
    const outcomes: string[] = []
    for (let i = 0; i < WRITES; i++) {
      void client!.put('kind', `written-${i}`, i, 0, 'caller').then(written => { outcomes[i] = written.ok ? 'ok' : written.val.type })
      await time.advance(WRITE_PERIOD)
    }
    await time.advance(10_000)
    const wrong = outcomes.flatMap((outcome, i) => WITHOUT_EFFECT.includes(outcome) && stores.store.objects.read('kind', `written-${i}`) !== undefined ? [`written-${i}: ${outcome}`] : [])
    t.log(outcomes.join(' '))
    t.deepEqual(wrong, [])
  })
}

import test from 'ava'
import { planSearchPause } from '../../src/batch/plan-search-pause.js'

const TABLE: readonly (readonly [daemons: number, pause: number])[] = [[1, 1_000], [5, 1_000], [6, 1_200], [48, 9_600], [380, 60_000]]

for (const [daemons, pause] of TABLE) {
  test(`${daemons} daemons search again after ${pause} ms, at a bounded rate of the whole fleet`, t => {
    t.is(planSearchPause(daemons), pause)
    t.true(daemons / (pause / 1_000) <= 7)
  })
}

import 'reflect-metadata'
import test from 'ava'
import { replayRestart } from '../helpers/replay-restart.js'

/** Share of the requests asked since a restart that are in time while those of before return late and at once. */
const IN_TIME_SHARE = 0.9

// Guards against requests that returned late after a restart of all daemons, and take the slots of those that can still be in time.
for (const seed of [5, 6]) {
  test(`requests asked after a restart under load are in time beside those that return late: seed ${seed}`, async t => {
    const result = await replayRestart({ daemons: 74, servers: 50, slots: 7, delay: { by: 0, for: 0 }, returning: { count: 800, asked: 1_500, within: 700 }, rate: 220, length: 4_000, seed })
    t.log(result)
    t.true(result.inTime >= IN_TIME_SHARE * result.asked)
  })
}

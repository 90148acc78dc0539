import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { GroupChooser } from '../../src/placement/group-chooser.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** As many groups as 600 servers have. */
const GROUPS = 38
/** Interval of a daemon's bids, ms. */
const BID_PERIOD = 50

// Guards against items that only the servers of one group may run, which was full when the last online request came: its broker hears of no bid for them.
for (const seed of [1, 2, 3, 4, 5]) {
  test(`each of many groups gets a bid within 4 s, although most were full when they were last heard of, seed ${seed}`, async t => {
    const clock = new VirtualClock()
    const random = new Random(seed)
    const chooser = new GroupChooser({ clock, random, loads: { listOfVersion: () => [] }, map: { countGroups: () => GROUPS, findGroup: () => 0 } })
    for (let group = 0; group < GROUPS; group++) chooser.record('p', group, random.below(4) === 0 ? 10 : 0)
    const asked = new Set<number>()
    for (let ms = 0; ms < 4_000; ms += BID_PERIOD) {
      asked.add(chooser.chooseForBatch('p'))
      await clock.advance(BID_PERIOD)
    }
    t.is(asked.size, GROUPS)
  })
}

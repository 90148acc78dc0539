import 'reflect-metadata'
import test from 'ava'
import { replayBatchWaves } from '../helpers/replay-batch-waves.js'

const options = {
  daemons: 50,
  servers: 22,
  slots: 7,
  trough: { length: 3_400, rate: 44 },
  crest: { length: 2_400, rate: 230 },
  length: 34_800
}

// Guards against slots that stay idle in the lulls between waves while items miss their due time.
test('a backlog that the lulls between waves carry ends in time', async t => {
  const result = await replayBatchWaves({ ...options, jobs: { rate: 1.25, items: 10, time: 5_200, dueIn: 18_000 } })
  t.log(result)
  t.true(result.itemsInTime >= 0.99 * result.items)
  t.true(result.idleShare <= 0.1)
})

test('a backlog of more than the lulls carry finds few idle slots', async t => {
  const result = await replayBatchWaves({ ...options, jobs: { rate: 2, items: 10, time: 5_200, dueIn: 18_000 } })
  t.log(result)
  t.true(result.idleShare <= 0.1)
})

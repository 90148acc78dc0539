import test from 'ava'
import { countSequential } from '../../src/routing/blame/count-sequential.js'
import { hasEqualAges } from '../../src/routing/blame/has-equal-ages.js'
import { mergeLoss } from '../../src/routing/blame/merge-loss.js'
import type { PartLoss } from '../../src/routing/blame/part-loss.js'

function lose (server: string, at: number, ages: readonly number[], daemon = 'a'): PartLoss {
  return { server, at, first: at - Math.max(...ages), began: at - Math.min(...ages), runs: new Map([[daemon, ages.length]]), beside: [] }
}

// Guards against reports that, sent again and again, move the beginnings of runs behind the losses before, as if they had followed them.
test('a loss that is reported again later keeps the ages of its runs', t => {
  let losses: readonly PartLoss[] = [lose('x', 1_000, [100]), lose('y', 1_050, [120])]
  for (let i = 1; i <= 30; i++) losses = mergeLoss(losses, lose('y', 1_050 + 4 * i, [120]))
  t.deepEqual(losses.map(({ at, began }) => [at, at - began]), [[1_000, 100], [1_050, 120]])
  t.is(countSequential(losses), 1)
})

// Guards against a run beside the crashing one that hides how long that one took.
test('of several runs at a lost server any one may have the age of the others', t => {
  const losses = mergeLoss([lose('x', 1_000, [110]), lose('y', 2_000, [30], 'a')], lose('y', 2_005, [115], 'b'))
  t.true(hasEqualAges([...losses, lose('z', 3_000, [112])]))
  t.false(hasEqualAges([...losses, lose('z', 3_000, [400])]))
})

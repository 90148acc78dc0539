import test from 'ava'
import { chooseItem } from '../../src/jobs/choose-item.js'

const item = (name: string, job: string, losses: number, trial?: string): { readonly name: string, readonly job: string, readonly state: { readonly losses: number }, readonly trial?: string } => ({ name, job, state: { losses }, ...trial !== undefined && { trial } })
const none = (): number => 0

// Guards against one item that is the trial of a part each time, so that nothing shows whether another would pass.
test('trials go round among the items of a job', t => {
  t.is(chooseItem([item('a1', 'a', 2, 'p'), item('a2', 'a', 1, 'p'), item('a3', 'a', 1, 'p')], none)?.name, 'a2')
})

// Guards against jobs that have no item at a server while another one has several trials of their part.
test('trials go round among jobs, then among their items', t => {
  const items = [item('a1', 'a', 0, 'p'), item('b1', 'b', 3, 'p'), item('b2', 'b', 2, 'p')]
  t.is(chooseItem(items, job => job === 'a' ? 1 : 0)?.name, 'b2')
  t.is(chooseItem(items, none)?.name, 'a1')
})

// Guards against trials that go before items which are more urgent.
test('items that are no trial, or of another part, keep their order', t => {
  t.is(chooseItem([item('a1', 'a', 5), item('b1', 'b', 0, 'p')], job => job === 'a' ? 9 : 0)?.name, 'a1')
  t.is(chooseItem([item('a1', 'a', 5, 'p'), item('b1', 'b', 0, 'q')], job => job === 'a' ? 9 : 0)?.name, 'a1')
  t.is(chooseItem([], none), undefined)
})

import test from 'ava'
import fc from 'fast-check'
import { OnDemandTask } from '../../src/kernel/on-demand-task.js'
import { PeriodicTasks } from '../../src/kernel/periodic-tasks.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// The process must wake only as often as the shortest period requires, whenever the tasks were added.
test('tasks of several periods wake the process together', async t => {
  const clock = new VirtualClock()
  const wakes = new Set<number>()
  const counts = new Map<number, number>()
  const tasks = new PeriodicTasks(clock)
  for (const period of [100, 100, 100, 200, 500, 1_000]) {
    await clock.advance(7)
    tasks.add(period, () => {
      wakes.add(clock.now())
      counts.set(period, (counts.get(period) ?? 0) + 1)
    })
  }
  await clock.advance(10_000)
  t.true(wakes.size <= 101, `${wakes.size} wakes`)
  t.deepEqual([...counts].map(([period, count]) => Math.round(count / 10_000 * period)), [3, 1, 1, 1])
})

test('each task runs at its rate, whichever others are added and removed', async t => {
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.integer({ min: 5, max: 400 }), fc.nat(500), fc.nat(2_000)), { maxLength: 6 }), async added => {
    const clock = new VirtualClock()
    const tasks = new PeriodicTasks(clock)
    const runs: number[] = []
    tasks.add(50, () => runs.push(clock.now()))
    for (const [period, start, length] of added) clock.after(start, () => { clock.after(length, tasks.add(period, () => {})) })
    await clock.advance(3_000)
    t.is(runs.length, 60)
    t.true(runs.every((time, i) => Math.abs(time - (i + 1) * 50) <= 1), 'a ms early where another task wakes the process then')
  }), { numRuns: 200, seed: 5 })
})

test('after a pause of the process each task runs once, and one that throws stops no other', async t => {
  const clock = new VirtualClock()
  const tasks = new PeriodicTasks(clock)
  let runs = 0
  tasks.add(100, () => { runs++ })
  clock.pause(1_050)
  await clock.advance(10)
  t.is(runs, 1)
  await clock.advance(100)
  t.is(runs, 2)
  tasks.add(100, () => { throw new Error('a defect') })
  await clock.advance(130)
  await t.throwsAsync(clock.advance(100))
  t.is(runs, 4)
  await t.throwsAsync(clock.advance(100))
  t.is(runs, 5)
})

test('a task removed by another one of the same time does not run', async t => {
  const clock = new VirtualClock()
  const tasks = new PeriodicTasks(clock)
  let runs = 0
  tasks.add(100, () => end())
  const end = tasks.add(100, () => { runs++ })
  await clock.advance(1_000)
  t.is(runs, 0)
})

test('an on-demand task runs until it has nothing to do, and again when woken', async t => {
  const clock = new VirtualClock()
  let [runs, work] = [0, 0]
  const task = new OnDemandTask({ clock, period: 20, run: () => { runs++; return --work > 0 } })
  await clock.advance(1_000)
  t.is(runs, 0)
  work = 3
  task.wake()
  task.wake()
  await clock.advance(1_000)
  t.is(runs, 3)
  task.wake()
  task.stop()
  await clock.advance(1_000)
  t.is(runs, 3)
})

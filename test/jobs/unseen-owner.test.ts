import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { JobFleet } from '../helpers/job-fleet.js'

const { items: ITEMS, names: NAMES } = JobFleet
const FIRST = NAMES[0]!

/** Reads the job through every daemon each 100 ms; returns what was read before and is missing in a later page. */
function watchPositions (fleet: JobFleet): readonly string[] {
  const failures: string[] = []
  let seen = 0
  fleet.time.every(100, () => {
    for (const { name, reader } of fleet.daemons.values()) {
      const expected = seen
      void reader.readResults('j', 0, 0).then(page => {
        if (page.err || fleet.daemons.get(name)?.reader !== reader) return
        seen = Math.max(seen, page.val.results.length)
        if (page.val.results.length < expected) failures.push(`${name} lists ${page.val.results.length} of ${expected} at ${fleet.time.now()}`)
      })
    }
  })
  return failures
}

async function finishEach (fleet: JobFleet, daemons: readonly string[]): Promise<void> {
  for (const { id } of ITEMS.slice(0, 4)) {
    for (const name of daemons) fleet.daemons.get(name)!.finish(id)
    await fleet.time.advance(600)
  }
}

/** Separates some daemons from the others: neither side has the other among its members, and messages between them are lost. */
function separate (fleet: JobFleet, side: readonly string[], isOver: () => boolean): void {
  const isAcross = (one: string, other: string): boolean => !isOver() && side.includes(one) !== side.includes(other)
  fleet.isMember = (name, other) => !isAcross(name, other)
  fleet.loses = isAcross
}

function listOwners (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ owner }) => owner.find('j') !== undefined).map(({ name }) => name)
}

// All daemons restart. One accepts a job while those that start after it, which find the job in the store, don't know its new process yet.
// Guards against a second owner, which lists fewer results than the first one.
test('a job whose owner the others do not know yet keeps its one owner', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  separate(fleet, [FIRST], () => fleet.time.now() > 3_000)
  const failures = watchPositions(fleet)
  await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  for (const name of NAMES) if (name !== FIRST) fleet.restart(name)
  await finishEach(fleet, [FIRST])
  t.deepEqual(failures, [])
  await fleet.time.advance(5_000)
  t.deepEqual(listOwners(fleet), [FIRST])
})

// All daemons restart, and each has only some of the others among its members. Guards against two daemons that both take a job over from a
// process that has ended, and each lack results which the other one lists.
for (const finisher of [0, 1]) {
  test(`two daemons that both take over a job of an ended process list the same results: items end at owner ${finisher}`, async t => {
    const fleet = new JobFleet()
    await fleet.start()
    await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
    await fleet.time.advance(1_000)
    separate(fleet, NAMES.slice(1, 3), () => false)
    const { isMember } = fleet
    fleet.isMember = (name, other) => other === FIRST || isMember(name, other)
    fleet.restart(FIRST)
    await fleet.time.advance(4_000)
    const owners = listOwners(fleet)
    t.is(owners.length, 2)
    const failures = watchPositions(fleet)
    await finishEach(fleet, [owners[finisher]!])
    t.deepEqual(failures, [])
  })
}

// The owner of a job is separated from the others, which take its job over, and callers still reach it. Guards against two owners that each
// lack results which the other one lists.
for (const finishers of ['the former owner', 'the new owner', 'both']) {
  test(`two owners that do not know of each other list the same results: items end at ${finishers}`, async t => {
    const fleet = new JobFleet()
    await fleet.start()
    await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
    await fleet.time.advance(1_000)
    separate(fleet, [FIRST], () => false)
    await fleet.time.advance(10_000)
    const owners = listOwners(fleet)
    t.is(owners.length, 2)
    const failures = watchPositions(fleet)
    await finishEach(fleet, owners.filter(name => finishers === 'both' || (name === FIRST) === (finishers === 'the former owner')))
    t.deepEqual(failures, [])
  })
}

type Step =
  | { readonly type: 'separate', readonly sides: number }
  | { readonly type: 'restart', readonly daemon: number }
  | { readonly type: 'finish', readonly daemon: number, readonly item: number }
  | { readonly type: 'time', readonly ms: number }

async function play (steps: readonly Step[]): Promise<void> {
  const fleet = new JobFleet()
  await fleet.start()
  await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  await fleet.time.advance(1_000)
  const failures = watchPositions(fleet)
  for (const step of steps) {
    switch (step.type) {
      case 'separate': separate(fleet, NAMES.filter((_, i) => (step.sides >> i) % 2 === 1), () => false); break
      case 'restart': fleet.restart(NAMES[step.daemon]!); break
      case 'finish': fleet.daemons.get(NAMES[step.daemon]!)!.finish(ITEMS[step.item]!.id); break
      case 'time': await fleet.time.advance(step.ms); break
    }
  }
  separate(fleet, [], () => true)
  await fleet.time.advance(10_000)
  if (failures.length > 0) throw new Error(failures.slice(0, 5).join('\n'))
}

// Guards, for any separations and restarts of daemons and any finished items, against positions that disappear after they were read.
test('separations and restarts in any order: positions that were read are never missing', async t => {
  const step = fc.oneof(
    fc.record({ type: fc.constant('separate' as const), sides: fc.nat(2 ** NAMES.length - 1) }),
    fc.record({ type: fc.constant('restart' as const), daemon: fc.nat(NAMES.length - 1) }),
    fc.record({ type: fc.constant('finish' as const), daemon: fc.nat(NAMES.length - 1), item: fc.nat(ITEMS.length - 1) }),
    fc.record({ type: fc.constant('time' as const), ms: fc.integer({ min: 100, max: 4_000 }) })
  )
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), play), { numRuns: 150, seed: 33 })
  t.pass()
})

import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { JobFleet } from '../helpers/job-fleet.js'

const { items: ITEMS, names: NAMES } = JobFleet
/** How long after a pause a daemon may still list fewer results than were read, ms. */
const SETTLE = 4_000

type Step =
  | { readonly type: 'pause', readonly daemon: number, readonly ms: number, readonly counted: boolean }
  | { readonly type: 'finish', readonly daemon: number, readonly item: number }
  | { readonly type: 'time', readonly ms: number }

/** Runs the steps while callers read through every running daemon; throws where one lacks a position that was read before. */
async function play (steps: readonly Step[]): Promise<JobFleet> {
  const fleet = new JobFleet()
  await fleet.start()
  const all = [...fleet.daemons.values()]
  await all[0]!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  await fleet.time.advance(10)
  const seen: string[] = []
  const resumedAt = new Map<string, number>()
  const readAll = (): void => {
    for (const { name, clock, reader } of all) {
      if (clock.isPaused) resumedAt.set(name, Infinity)
      else if (resumedAt.get(name) === Infinity) resumedAt.set(name, fleet.time.now())
      if (clock.isPaused || fleet.time.now() < (resumedAt.get(name) ?? 0) + SETTLE) continue
      const expected = seen.length
      void reader.readResults('j', 0, 0).then(page => {
        if (page.err || clock.isPaused) return
        if (page.val.results.length < expected) failures.push(`${name} lists ${page.val.results.length} of ${expected} at ${fleet.time.now()}`)
        page.val.results.forEach(({ id, text }, i) => {
          seen[i] ??= `${id} ${text}`
          if (seen[i] !== `${id} ${text}`) failures.push(`position ${i} was ${seen[i]} and is ${id} ${text} at ${name}`)
        })
      })
    }
  }
  const failures: string[] = []
  const stop = fleet.time.every(200, readAll)
  for (const step of steps) {
    switch (step.type) {
      case 'pause': await fleet.pause(NAMES[step.daemon]!, step.ms, step.counted); break
      case 'finish': fleet.daemons.get(NAMES[step.daemon]!)!.finish(ITEMS[step.item]!.id); break
      case 'time': await fleet.time.advance(step.ms); break
    }
  }
  await fleet.time.advance(15_000)
  stop()
  if (failures.length > 0) throw new Error(failures.slice(0, 5).join('\n'))
  return fleet
}

/** Lists the daemons that own the job. */
function listOwners (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ owner }) => owner.find('j') !== undefined).map(({ name }) => name)
}

// Guards against an owner that lists fewer results after a pause than the daemon that took the job over, to callers that read through it or
// through another daemon that was paused too and still names it as the owner.
for (const counted of [true, false]) {
  test(`no daemon lists fewer results after the owner and another were paused (monotonic clock ${counted ? 'runs on' : 'stops'})`, async t => {
    const taken: Step[] = NAMES.map((_, daemon) => ({ type: 'finish', daemon, item: 0 }))
    const fleet = await play([
      { type: 'pause', daemon: 0, ms: 4_500, counted },
      { type: 'pause', daemon: 1, ms: 4_500, counted },
      { type: 'time', ms: 4_000 },
      ...taken,
      { type: 'time', ms: 7_000 }
    ])
    t.is(listOwners(fleet).length, 1)
  })
}

// Guards, for any sequence of pauses and finished items, against positions that change or disappear after they were read, and against more
// than one owner at the end.
test('pauses of owners in any order: positions that were read never change, and one owner is left', async t => {
  const step = fc.oneof(
    fc.record({ type: fc.constant('pause' as const), daemon: fc.nat(NAMES.length - 1), ms: fc.integer({ min: 500, max: 8_000 }), counted: fc.boolean() }),
    fc.record({ type: fc.constant('finish' as const), daemon: fc.nat(NAMES.length - 1), item: fc.nat(ITEMS.length - 1) }),
    fc.record({ type: fc.constant('time' as const), ms: fc.integer({ min: 100, max: 3_000 }) })
  )
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 20 }), async steps => {
    const owners = listOwners(await play(steps))
    if (owners.length !== 1) throw new Error(`owners: ${owners.join()}`)
  }), { numRuns: 60, seed: 14 })
  t.pass()
})

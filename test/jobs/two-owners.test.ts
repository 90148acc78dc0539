import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import type { Settings } from '../../src/kernel/settings.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { JobAdoption } from '../../src/jobs/job-adoption.js'
import { JobBook } from '../../src/jobs/job-book.js'
import { JobContest } from '../../src/jobs/job-contest.js'
import type { JobItem } from '../../src/jobs/job-item.js'
import { JobOwner } from '../../src/jobs/job-owner.js'
import { JobReader } from '../../src/jobs/job-reader.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import type { JobRunner } from '../../src/jobs/job-runner.js'
import type { OwnedJob } from '../../src/jobs/owned-job.js'
import type { FleetCast } from '../../src/peers/fleet-cast.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { PausableClock } from '../helpers/pausable-clock.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const ITEMS: readonly JobItem[] = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => ({ id, path: `/jobs/${id}`, headers: {}, body: 'eA==', tokens: 10 }))
const NAMES = ['d1', 'd2', 'd3', 'd4', 'd5']
/** How long membership takes to find a silent daemon dead, and to find it back, ms. */
const DEAD_AFTER = 2_500
const BACK_AFTER = 500
/** How long after it goes on a daemon may answer with less than was read, ms: the users' bounds for contact and settling. */
const SETTLE = 4_000

interface Daemon { readonly name: string, readonly clock: PausableClock, readonly owner: JobOwner, readonly reader: JobReader, finish: (item: string) => void }

/** Daemons with their books, owners and readers, on virtual time; what is sent to one that is held for dead is lost. */
class JobFleet {
  readonly time = new VirtualClock()
  readonly store = new MemoryStore()
  readonly daemons = new Map<string, Daemon>()
  private readonly dead = new Set<string>()
  private readonly handlers = new Map<string, PeerHandler[]>()

  async start (): Promise<void> {
    for (const name of NAMES) this.daemons.set(name, this.createDaemon(name))
    await this.time.advance(100)
  }

  async pause (name: string, pause: number, counted: boolean): Promise<void> {
    const { clock } = this.daemons.get(name)!
    if (clock.isPaused) return
    clock.pause()
    this.time.after(DEAD_AFTER, () => { if (clock.isPaused) this.dead.add(name) })
    this.time.after(pause, () => {
      clock.resume(counted)
      this.time.after(BACK_AFTER, () => { if (!clock.isPaused) this.dead.delete(name) })
    })
  }

  private alive (): readonly string[] {
    return NAMES.filter(name => !this.dead.has(name))
  }

  private post (from: string, to: string, message: PeerMessage): void {
    if (this.dead.has(to) || this.dead.has(from)) return
    this.time.after(1, () => this.daemons.get(to)!.clock.run(() => this.dispatch(to, message, from)))
  }

  private dispatch (to: string, message: PeerMessage, from: string): void {
    for (const handler of this.handlers.get(to)!) if (handler.type === message.type) handler.handle(message, from)
  }

  private createDaemon (name: string): Daemon {
    const clock = new PausableClock(this.time)
    const members = {
      run: 1,
      all: () => this.alive().map(instance => ({ instance: { name: instance }, state: 'alive', run: 1 })),
      owners: () => this.alive(),
      subscribe: () => () => {}
    } as unknown as Members
    const links = { send: (to: string, message: PeerMessage) => this.post(name, to, message) } as unknown as PeerLinks
    const cast = { cast: (message: PeerMessage) => { for (const other of this.alive()) if (other !== name) this.post(name, other, message) } } as unknown as FleetCast
    let onResult: (job: OwnedJob) => void = () => {}
    const runner = { subscribe: (listener: (job: OwnedJob) => void) => { onResult = listener }, add: () => {}, remove: () => {} } as unknown as JobRunner
    const book = new JobBook(cast)
    const records = new JobRecords(this.store)
    const settings = { instance: name } as unknown as Settings
    const pauses = new PauseWatch(clock)
    const owner = new JobOwner(records, runner, book, members, links, settings, { write: () => {} }, clock)
    const contest = new JobContest(owner, book, pauses, settings, { write: () => {} }, clock)
    const adoption = new JobAdoption(owner, book, records, members, settings, clock)
    const reader = new JobReader(owner, book, records, links, settings, clock)
    this.handlers.set(name, [...book.extensions, ...owner.extensions, ...reader.extensions].map(({ value }) => value as PeerHandler))
    void pauses.start()
    void owner.start()
    void contest.start()
    void adoption.start()
    const finish = (item: string): void => {
      const job = owner.find('j')
      const state = job?.items.find(other => other.item.id === item)
      if (job === undefined || state === undefined || state.phase === 'ended' || clock.isPaused) return
      job.finish(state, { id: item, state: 'completed', text: `by ${name}` })
      onResult(job)
    }
    return { name, clock, owner, reader, finish }
  }
}

type Step =
  | { readonly type: 'pause', readonly daemon: number, readonly ms: number, readonly counted: boolean }
  | { readonly type: 'finish', readonly daemon: number, readonly item: number }
  | { readonly type: 'time', readonly ms: number }

/** Plays the steps while callers read through every daemon that goes on; throws where one has nothing at a position that was read before. */
async function play (steps: readonly Step[]): Promise<JobFleet> {
  const fleet = new JobFleet()
  await fleet.start()
  const all = [...fleet.daemons.values()]
  await all[0]!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  await fleet.time.advance(10)
  const seen: string[] = []
  const wokenAt = new Map<string, number>()
  const readAll = (): void => {
    for (const { name, clock, reader } of all) {
      if (clock.isPaused) wokenAt.set(name, Infinity)
      else if (wokenAt.get(name) === Infinity) wokenAt.set(name, fleet.time.now())
      if (clock.isPaused || fleet.time.now() < (wokenAt.get(name) ?? 0) + SETTLE) continue
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

/** The daemons that hold themselves for the owner. */
function listOwners (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ owner }) => owner.find('j') !== undefined).map(({ name }) => name)
}

// The owner of a job and another daemon stand still for 4.5 s. A third takes the job over and stores a result, which a caller
// reads. Then both wake: the owner goes on with what it knew, so that a caller who reads through it, or through the other one, which
// still names it as owner, finds nothing at a position that was read.
for (const counted of [true, false]) {
  test(`owner and another stand still and wake: nobody falls behind what was read (steady clock ${counted ? 'goes on' : 'stands'})`, async t => {
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

// Any daemons stand still at any time, alone or together, for less or more than it takes to be found dead; those that hold
// themselves for owners end items. No position that was read is missing or another one, and in the end there is one owner.
test('pauses of owners in any order: positions that were read stay, and one owner is left', async t => {
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

import type { FleetBroadcast } from '../../src/peers/fleet-broadcast.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import type { PartDecision } from '../../src/routing/blame/part-decision.js'
import { PartBlame } from '../../src/routing/blame/part-blame.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { ItemTrials } from '../../src/jobs/item-trials.js'
import { VirtualClock } from './virtual-clock.js'

/** A kind of request that comes at random daemons. */
export interface PartTraffic {
  readonly parts: (random: Random) => readonly string[]
  /** Requests a second, and when they begin, ms. */
  readonly rate: number
  readonly from?: number
  /** Duration of a run, ms. */
  readonly time: number
  /** Sends of one request; it is sent again after a lost server, and, as a caller repeats it, after a refusal. */
  readonly attempts?: number
  /** An item of a job waits where it may not run. */
  readonly isItem?: boolean
}

export interface PartCrashOptions {
  readonly seed: number
  readonly daemons?: number
  readonly engines?: number
  readonly traffic: readonly PartTraffic[]
  /** Probability that a run crashes its engine, by the parts of its request. */
  readonly crashes?: (parts: readonly string[]) => number
  /** Time from the beginning of a run to its crash, ms. */
  readonly crashTime?: number
  /** Times at which engines end by themselves, each with their number. */
  readonly ends?: ReadonlyArray<readonly [at: number, engines: number]>
  /** Whether an engine is back under its id. */
  readonly keepsId?: boolean
  readonly downtime?: number
  /** Share of messages between daemons that are lost. */
  readonly lost?: number
  /** Daemons that nothing reaches, with the beginning and end, ms. */
  readonly cut?: { readonly daemons: number, readonly from: number, readonly to: number }
  /** Daemons that start again at a time, ms. */
  readonly restart?: { readonly daemons: number, readonly at: number }
  readonly duration?: number
  /** When an operator deletes all stored parts, and from when on no run crashes its engine, ms. */
  readonly releasedAt?: number
  readonly harmlessFrom?: number
  /** Whether parts are blamed at all. */
  readonly isBlaming?: boolean
}

interface Outcome { readonly at: number, readonly parts: readonly string[], readonly daemon: number, readonly outcome: 'first' | 'again' | 'lost' | 'refused' | 'full', readonly waited: number }

export interface PartCrashOutcome {
  /** When engines were crashed by requests, ms. */
  readonly crashed: readonly number[]
  /** Those of them that items crashed. */
  readonly crashedByItems: readonly number[]
  readonly outcomes: readonly Outcome[]
  /** Sends of requests that would crash their engine, ms. */
  readonly dangerous: readonly { readonly at: number, readonly daemon: number }[]
  /** Parts that were refused at the end. */
  readonly refused: readonly string[]
  /** When all daemons first refused a crashing part, ms; undefined if they never did. */
  readonly inForce: number | undefined
  readonly messages: number
  readonly calls: number
}

interface Engine { id: string, isUp: boolean, readonly runs: Set<() => void> }

const LINK_DELAY = 2
const DETECTION = 4
const SLOTS = 8

/** Simulates daemons and engines on virtual time, with requests whose prompts share parts, some of which crash engines. */
export async function simulatePartCrashes (options: PartCrashOptions): Promise<PartCrashOutcome> {
  const { seed, daemons = 8, engines = 6, traffic, crashes = () => 0, crashTime = 110, ends = [], keepsId = false, downtime = 2_500, lost = 0, cut, restart, duration = 20_000, releasedAt, harmlessFrom = Infinity, isBlaming = true } = options
  const random = new Random(seed)
  const clock = new VirtualClock()
  const store = new MemoryStore()
  const names = Array.from({ length: daemons }, (_, i) => `entry-${i}`)
  const fleet = Array.from({ length: engines }, (_, i): Engine => ({ id: `engine-${i}`, isUp: true, runs: new Set() }))
  const blames = new Map<string, PartBlame>()
  const trials = new Map<string, ItemTrials>()
  /** How many trials run as items, by `DAEMON PART`. */
  const tried = new Map<string, number>()
  const countTrial = (trial: string, change: 1 | -1): void => { tried.set(trial, (tried.get(trial) ?? 0) + change) }
  const crashedByItems: number[] = []
  const [crashed, outcomes, dangerous]: [number[], Outcome[], Array<{ at: number, daemon: number }>] = [[], [], []]
  let [messages, inForce, births]: [number, number | undefined, number] = [0, undefined, 0]

  const isCut = (name: string): boolean => cut !== undefined && names.indexOf(name) < cut.daemons && clock.now() >= cut.from && clock.now() < cut.to
  const send = (from: string, to: string, message: PeerMessage): void => {
    messages++
    if (random.next() < lost || isCut(from) || isCut(to)) return
    const arriving = structuredClone(message)
    clock.after(LINK_DELAY + random.below(3), () => {
      for (const { value } of blames.get(to)?.extensions ?? []) if ((value as PeerHandler).type === arriving.type) (value as PeerHandler).handle(arriving, from)
    })
  }
  const start = (name: string): void => {
    const others = names.filter(other => other !== name)
    const links = { send: (to: string, message: PeerMessage) => send(name, to, message) } as unknown as PeerLinks
    const broadcast = { broadcast: (message: PeerMessage) => { for (const other of others) send(name, other, message) } } as unknown as FleetBroadcast
    const members = { all: () => names.map(instance => ({ instance: { name: instance }, state: 'alive' })), owners: () => names } as unknown as Members
    const blame = new PartBlame(members, links, broadcast, store as unknown as ObjectStore, { instance: name } as unknown as Settings, new Metrics(), { write: () => {} }, clock, new Random(seed + blames.size))
    blames.set(name, blame)
    trials.set(name, new ItemTrials({ blame, clock, random: new Random(seed + blames.size), countTrials: part => tried.get(`${name} ${part}`) ?? 0 }))
    void blame.start()
  }
  for (const name of names) start(name)

  const end = (engine: Engine): void => {
    engine.isUp = false
    for (const lose of [...engine.runs]) lose()
    engine.runs.clear()
    clock.after(downtime, () => {
      if (!keepsId) engine.id = `engine-b${births++}`
      engine.isUp = true
    })
  }

  const run = (daemon: number, { time, attempts = 2, isItem = false }: PartTraffic, parts: readonly string[], at: number, attempt: number): void => {
    const name = names[daemon]!
    const blame = blames.get(name)!
    const finish = (outcome: Outcome['outcome']): void => { outcomes.push({ at, parts, daemon, outcome, waited: clock.now() - at }) }
    const decision: PartDecision = !isBlaming ? { type: 'clear' } : isItem ? trials.get(name)!.check(parts) : blame.check(parts)
    if (decision.type === 'refused' && !isItem) return finish('refused')
    if (decision.type === 'refused' || (decision.type === 'wait' && (isItem || clock.now() < at + 2_000))) {
      if (isItem && clock.now() > at + 10_000) return finish('refused')
      clock.after(50, () => run(daemon, { parts: () => parts, rate: 0, time, attempts, isItem }, parts, at, attempt))
      return
    }
    const free = fleet.filter(({ isUp, runs }) => isUp && runs.size < SLOTS)
    if (free.length === 0) {
      if (clock.now() > at + 1_000) return finish('full')
      clock.after(50, () => run(daemon, { parts: () => parts, rate: 0, time, attempts, isItem }, parts, at, attempt))
      return
    }
    const engine = free.reduce((least, other) => other.runs.size < least.runs.size ? other : least)
    const chance = clock.now() < harmlessFrom ? crashes(parts) : 0
    if (chance > 0) dangerous.push({ at: clock.now(), daemon })
    const server = engine.id
    const partRun = blame.begin(parts, server, () => true)
    clock.after(20, () => partRun.open())
    const trial = isItem && decision.type === 'clear' && decision.trial !== undefined ? `${name} ${decision.trial}` : undefined
    if (trial !== undefined) countTrial(trial, 1)
    let ended = false
    const lose = (): void => {
      if (ended) return
      ended = true
      clock.after(DETECTION + random.below(10), () => {
        blame.onServerLost(server)
        partRun.end('ended')
        if (trial !== undefined) countTrial(trial, -1)
        if (attempt + 1 < attempts) run(daemon, { parts: () => parts, rate: 0, time, attempts, isItem }, parts, at, attempt + 1)
        else finish('lost')
      })
    }
    engine.runs.add(lose)
    const willCrash = random.next() < chance
    clock.after(willCrash ? crashTime : time, () => {
      if (ended) return
      if (willCrash) {
        crashed.push(clock.now())
        if (isItem) crashedByItems.push(clock.now())
        return end(engine)
      }
      ended = true
      engine.runs.delete(lose)
      partRun.end('passed')
      if (trial !== undefined) countTrial(trial, -1)
      finish(attempt === 0 ? 'first' : 'again')
    })
  }

  for (const kind of traffic) {
    const arrive = (): void => {
      if (clock.now() > duration) return
      run(random.below(daemons), kind, kind.parts(random), clock.now(), 0)
      clock.after(-Math.log(1 - random.next()) * 1_000 / kind.rate, arrive)
    }
    clock.after((kind.from ?? 0) + random.next() * 1_000 / kind.rate, arrive)
  }
  for (const [at, count] of ends) clock.after(at, () => { for (const engine of fleet.filter(({ isUp }) => isUp).slice(0, count)) end(engine) })
  if (releasedAt !== undefined) clock.after(releasedAt, () => { for (const { name, version } of store.objects.list('refused-parts', '', '', Infinity)) store.objects.remove('refused-parts', name, version) })
  if (restart !== undefined) {
    clock.after(restart.at, () => {
      for (const name of names.slice(0, restart.daemons)) {
        void blames.get(name)!.stop()
        start(name)
      }
    })
  }
  clock.every(20, () => {
    const suspects = traffic.map(({ parts }) => parts(new Random(1))).filter(parts => crashes(parts) > 0)
    if (inForce === undefined && suspects.length > 0 && names.every(name => suspects.every(parts => blames.get(name)!.listRefused().some(({ part, beside }) => [part, ...beside].every(other => parts.includes(other)))))) inForce = clock.now()
  })
  await clock.advance(duration + 12_000)
  const refused = [...new Set([...blames.values()].flatMap(blame => blame.listRefused().map(({ part }) => part)))].sort()
  for (const blame of blames.values()) await blame.stop()
  return { crashed, crashedByItems, outcomes, dangerous, refused, inForce, messages, calls: store.calls.length }
}

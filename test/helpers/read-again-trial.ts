import { Random } from '../../src/kernel/random.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import { JobFleet } from './job-fleet.js'
import { TroubledStore, type Trouble } from './troubled-store.js'

const { items: ITEMS, names: NAMES } = JobFleet
/** Options of the store's client on the users' machines. */
const CLIENT_OPTIONS = { maxProbeDelay: 600, callerTimeout: 250, fleetRates: { reads: 2_000, writes: 400 } }
/** Time after which what one daemon has shown must be shown by every other one, ms. */
const SETTLE = 1_000
/** How long a daemon that was paused isn't judged after it resumed, ms. */
const CONTACT = 3_000
const READ_PERIOD = 250
const SUBMIT_PERIOD = 1_700
/** By when troubles begin, how long after all of them daemons must answer, and how long the last items then take, ms. */
const BEGIN = 1_500
const RECOVERY = 8_000
const FINISHING = 4_000
const LONG = 1_000_000
/** Longest time until a late write takes effect, ms. */
const MAX_LATE = 6_000
/** Time until membership notices a cut, ms. */
const DETECTION_DELAY = 2_500

/** What happens to the store: which calls of which daemons. */
export type StoreCase = 'none' | 'late' | 'lost' | 'silent' | 'busy' | 'limited' | 'reset' | 'slow' | 'dropped'
export type Scope = 'owner' | 'others' | 'all'
export type MessageCase = 'none' | 'cut' | 'lost to the owner' | 'lost from the owner' | 'lost' | 'late'
export type DaemonCase = 'none' | 'owner paused' | 'owner suspended' | 'owner restarted' | 'owner killed' | 'owner drained' | 'all restarted' | 'two owners killed' | 'reader restarted'

export interface ReadAgainCase {
  readonly store: StoreCase
  readonly scope: Scope
  readonly messages: MessageCase
  readonly daemons: DaemonCase
  readonly seed: number
}

export interface ReadAgainOutcome {
  /** What readers saw that they must not see. */
  readonly failures: readonly string[]
  readonly reads: number
  readonly unsure: number
  /** Calls to the store by type. */
  readonly calls: Readonly<Record<string, number>>
  readonly messages: number
  /** When each position was first read, ms. */
  readonly seenAt: readonly number[]
}

/** One job of a fleet on virtual time, whose results callers read through every daemon while the store, messages and daemons have trouble. */
export class ReadAgainTrial {
  private readonly fleet = new JobFleet()
  private readonly store = new TroubledStore(this.fleet.time)
  private readonly random: Random
  private readonly failures: string[] = []
  private readonly seen: Array<{ readonly text: string, readonly at: number }> = []
  private readonly resumesAt = new Map<string, number>()
  private reads = 0
  private unsure = 0
  private readonly owner = NAMES[0]!
  /** When the last trouble ends, ms. */
  private troubledUntil = 0

  constructor (private readonly trial: ReadAgainCase) {
    this.random = new Random(trial.seed)
    this.fleet.openStore = (name, clock) => new PlatformClient(this.store.connect(name, clock), { clock, random: this.random, ...CLIENT_OPTIONS })
  }

  async play (): Promise<ReadAgainOutcome> {
    const { time, daemons } = this.fleet
    await this.fleet.start()
    void daemons.get(this.owner)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
    await time.advance(this.draw(200, 1_200))
    this.scheduleTroubles()
    time.every(READ_PERIOD, () => { for (const name of NAMES) this.read(name) })
    time.every(SUBMIT_PERIOD, () => { void this.submitAgain(NAMES[this.random.below(NAMES.length)]!) })
    await this.finishItems()
    await time.advance(Math.max(0, this.troubledUntil + RECOVERY - time.now()))
    await this.checkCalm(this.seen.length)
    for (let i = 0; i < FINISHING; i += 500) {
      for (const { id } of ITEMS) for (const { finish } of daemons.values()) finish(id)
      await time.advance(500)
    }
    await this.checkCalm(0)
    if (this.seen.length !== ITEMS.length) this.failures.push(`${this.seen.length} results were listed`)
    const calls: Record<string, number> = {}
    for (const { type } of this.store.calls) calls[type] = (calls[type] ?? 0) + 1
    return { failures: this.failures, reads: this.reads, unsure: this.unsure, calls, messages: this.fleet.sent, seenAt: this.seen.map(({ at }) => at) }
  }

  private draw (min: number, max: number): number {
    return min + this.random.below(max - min + 1)
  }

  /** Finishes all items but the last at random times, sometimes two at once. */
  private async finishItems (): Promise<void> {
    for (const { id } of ITEMS.slice(0, -1)) {
      for (const { finish } of this.fleet.daemons.values()) finish(id)
      if (this.random.below(4) > 0) await this.fleet.time.advance(this.draw(200, 2_500))
    }
  }

  private scheduleTroubles (): void {
    const { trial: { store, scope, messages, daemons }, fleet: { time } } = this
    const from = time.now() + this.draw(0, BEGIN)
    const to = from + this.draw(1_000, 6_000)
    this.extendTroubles(to + MAX_LATE)
    if (store !== 'none') this.store.troubles.push(this.buildTrouble(store, scope, from, to))
    time.after(this.draw(0, BEGIN + 1_000), () => this.disturbMessages(messages, this.draw(1_500, 8_000)))
    time.after(this.draw(0, BEGIN + 3_000), () => { void this.disturbDaemons(daemons) })
  }

  private extendTroubles (until: number): void {
    this.troubledUntil = Math.max(this.troubledUntil, until)
  }

  private buildTrouble (type: Exclude<StoreCase, 'none'>, scope: Scope, from: number, to: number): Trouble {
    const { owner } = this
    const hits = (daemon: string): boolean => scope === 'all' || (daemon === owner) === (scope === 'owner')
    const kind = type === 'dropped' ? 'job-ends' : this.random.below(2) === 0 ? 'job-results' : undefined
    return { type, from, to, hits, delay: type === 'slow' ? this.draw(200, 1_500) : this.draw(1_000, MAX_LATE), ...kind !== undefined && { kind } }
  }

  /** Disturbs messages between the owner and the others for `time` ms; membership notices a cut. */
  private disturbMessages (type: MessageCase, time: number): void {
    const { fleet, owner } = this
    const began = fleet.time.now()
    this.extendTroubles(began + time)
    const isOver = (): boolean => fleet.time.now() >= began + time
    const isAcross = (from: string, to: string): boolean => !isOver() && (from === owner) !== (to === owner)
    switch (type) {
      case 'none': return
      case 'cut':
        fleet.loses = isAcross
        fleet.isMember = (name, other) => fleet.time.now() < began + DETECTION_DELAY || !isAcross(name, other)
        return
      case 'lost to the owner': fleet.loses = (from, to) => isAcross(from, to) && to === owner; return
      case 'lost from the owner': fleet.loses = (from, to) => isAcross(from, to) && from === owner; return
      case 'lost': fleet.loses = () => !isOver() && this.random.below(2) === 0; return
      case 'late': fleet.findLatency = () => isOver() ? 1 : this.draw(1, 1_200)
    }
  }

  private async disturbDaemons (type: DaemonCase): Promise<void> {
    const { fleet, owner } = this
    switch (type) {
      case 'none': return
      case 'owner paused': return await this.pause(owner, this.draw(500, 8_000), true)
      case 'owner suspended': return await this.pause(owner, this.draw(500, 8_000), false)
      case 'owner restarted': return fleet.restart(owner)
      case 'owner killed': return await this.kill(owner)
      case 'owner drained':
        await fleet.daemons.get(owner)!.drain()
        return fleet.restart(owner)
      case 'all restarted': for (const name of NAMES) fleet.restart(name); return
      case 'two owners killed':
        await this.kill(owner)
        fleet.time.after(this.draw(3_000, 6_000), () => {
          const next = [...fleet.daemons.values()].find(({ name, owner }) => name !== this.owner && owner.find('j') !== undefined)
          if (next !== undefined) fleet.restart(next.name)
          this.extendTroubles(fleet.time.now())
        })
        return
      case 'reader restarted': fleet.restart(NAMES[1]!)
    }
  }

  private async kill (name: string): Promise<void> {
    await this.pause(name, LONG, true)
  }

  private async pause (name: string, time: number, counted: boolean): Promise<void> {
    await this.fleet.pause(name, time, counted)
    this.resumesAt.set(name, this.fleet.time.now() + time)
    if (time < LONG) this.extendTroubles(this.fleet.time.now() + time)
  }

  /** Submits the job once more, at a daemon that may not know it. */
  private async submitAgain (name: string): Promise<void> {
    const { clock, owner, reader } = this.fleet.daemons.get(name)!
    if (clock.isPaused) return
    const accepted = await owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
    if (accepted.err && accepted.val.type === 'conflict') await reader.ensureRunning('j')
    else if (accepted.ok) this.failures.push(`${name} accepted the job twice`)
  }

  /** Reads from a random position: the first, one in the middle, the newest or one past it; waits for a result at times. */
  private read (name: string): void {
    const { clock, reader } = this.fleet.daemons.get(name)!
    if (clock.isPaused) return
    const newest = this.seen.length
    const after = [0, this.random.below(newest + 1), Math.max(0, newest - 1), newest][this.random.below(4)]!
    const wait = this.random.below(3) === 0 ? 1_000 : 0
    this.reads++
    void reader.readResults('j', after, wait).then(page => {
      const now = this.fleet.time.now()
      if (this.fleet.daemons.get(name)!.reader !== reader || clock.isPaused || now < (this.resumesAt.get(name) ?? -Infinity) + CONTACT) return
      if (page.err) {
        if (page.val === 'unsure') this.unsure++
        else this.failures.push(`${name} answers ${page.val} at ${now}`)
        return
      }
      if (page.val.results.length === 0 && (this.seen[after]?.at ?? Infinity) <= now - SETTLE) this.failures.push(`${name} has nothing at ${after} at ${now}, which was read at ${this.seen[after]!.at}`)
      page.val.results.forEach(({ id, text }, i) => this.see(after + i, `${id} ${text}`, name))
    })
  }

  private see (position: number, text: string, name: string): void {
    const known = this.seen[position]
    if (known === undefined) this.seen[position] = { text, at: this.fleet.time.now() }
    else if (known.text !== text) this.failures.push(`position ${position} was ${known.text} and is ${text} at ${name}`)
  }

  /** Checks that, once everything is calm, every daemon that runs lists all results from a position on. */
  private async checkCalm (after: number): Promise<void> {
    for (const { name, clock, reader } of this.fleet.daemons.values()) {
      if (clock.isPaused) continue
      let listed: number | undefined
      void reader.readResults('j', after, 0).then(page => { listed = page.ok ? after + page.val.results.length : undefined })
      await this.fleet.time.advance(500)
      if (listed !== this.seen.length) this.failures.push(`${name} lists ${listed} of ${this.seen.length} from ${after} on when all is calm`)
    }
  }
}

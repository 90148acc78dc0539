import type { MachinesFleet } from '../../harness/machines-fleet.js'
import type { Random } from '../../src/kernel/random.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { ThreadedEngine } from './threaded-engine.js'
import type { ThreadedStore } from './threaded-store.js'

type Span = readonly [least: number, most: number]

/** Times between two faults of a series, and how long each lasts, ms. */
const EVERY = { crash: [250, 900], stop: [700, 2_000], daemon: [1_200, 3_500], store: [4_000, 9_000] } as const
const AWAY: Span = [50, 1_500]
const ENTRY_DELAY: Span = [0, 1_000]
const STANDSTILL: Span = [500, 3_000]
const DAEMON_AWAY: Span = [200, 1_000]
/** Servers that each version keeps. */
const MIN_SERVERS = 3

interface MixedFaultsOptions {
  readonly fleet: MachinesFleet<ThreadedEngine, ThreadedStore>
  readonly random: Random
  readonly createEngine: (id: string, version: string) => Promise<ThreadedEngine>
  readonly onDaemonStarted: (daemon: number) => void
}

const pause = async (time: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, time))

/** Faults of servers, daemons and the store in series that overlap. Servers come back under their id and address with either version. */
export class MixedFaults {
  /** What was done, one line each. */
  readonly lines: string[] = []
  private readonly replaced = new Set<number>()
  private readonly disturbed = new Set<number>()
  private readonly pending: Array<Promise<void>> = []

  constructor (private readonly options: MixedFaultsOptions) {}

  /** Applies faults until `end`, by `performance.now`; resolves once all are over. */
  async run (end: number): Promise<void> {
    await Promise.all([
      this.repeat(EVERY.crash, end, async () => await this.replaceEngine()),
      this.repeat(EVERY.stop, end, async () => this.stopEngine()),
      this.repeat(EVERY.daemon, end, async () => await this.disturbDaemon()),
      this.repeat(EVERY.store, end, async () => this.stopStore())
    ])
    await Promise.all(this.pending)
  }

  private async repeat (every: Span, end: number, apply: () => Promise<void>): Promise<void> {
    for (;;) {
      await pause(this.draw(every))
      if (performance.now() >= end) return
      this.pending.push(apply())
    }
  }

  private draw ([least, most]: Span): number {
    return least + this.options.random.below(most - least)
  }

  private note (line: string): void {
    this.lines.push(`${new Date().toISOString()} ${line}`)
  }

  private async replaceEngine (): Promise<void> {
    const { fleet, random, createEngine } = this.options
    const index = random.below(fleet.engines.length)
    const [drawn, away, delay] = [random.below(2) === 0 ? 'v1' : 'v2', this.draw(AWAY), this.draw(ENTRY_DELAY)]
    if (this.replaced.has(index)) return
    this.replaced.add(index)
    const former = fleet.engines[index]!
    const isScarce = fleet.engines.filter(({ version }) => version === former.version).length <= MIN_SERVERS
    const next = await createEngine(former.id, isScarce ? String(former.version) : drawn)
    fleet.engines[index] = next
    this.note(`${former.id} killed, back in ${away} ms with ${String(next.version)} after ${String(former.version)}, its entry ${delay} ms later; started at ${next.startedAt}`)
    await former.end()
    await pause(away)
    await next.start(former.port)
    await pause(delay)
    registerEngine(fleet.store, next)
    this.replaced.delete(index)
  }

  private stopEngine (): void {
    const { fleet: { engines }, random } = this.options
    const engine = engines[random.below(engines.length)]!
    const time = this.draw(STANDSTILL)
    this.note(`${engine.id} stands still for ${time} ms`)
    engine.standStill(time)
  }

  private stopStore (): void {
    const time = this.draw(STANDSTILL)
    this.note(`the store stands still for ${time} ms`)
    this.options.fleet.store.standStill(time)
  }

  private async disturbDaemon (): Promise<void> {
    const { fleet, random, onDaemonStarted } = this.options
    const index = random.below(fleet.daemons.length)
    const [isKilled, away, time] = [random.below(2) === 0, this.draw(DAEMON_AWAY), this.draw(STANDSTILL)]
    if (this.disturbed.has(index)) return
    this.disturbed.add(index)
    const daemon = fleet.daemons[index]!
    this.note(isKilled ? `daemon ${index} killed, back in ${away} ms` : `daemon ${index} stands still for ${time} ms`)
    daemon.child!.signal(isKilled ? 'SIGKILL' : 'SIGSTOP')
    await pause(isKilled ? away : time)
    if (isKilled) {
      await fleet.startDaemon(daemon)
      onDaemonStarted(index)
    } else daemon.child!.signal('SIGCONT')
    this.disturbed.delete(index)
  }
}

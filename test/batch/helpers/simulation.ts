import { MemoryStore } from '../../../stand-ins/platform/memory-store.js'
import type { PeerHandler } from '../../../src/peers/peer-handler.js'
import type { PeerMessage } from '../../../src/peers/peer-message.js'
import { VirtualClock } from '../../helpers/virtual-clock.js'
import { SimulatedDaemon } from './simulated-daemon.js'
import type { FaultEvent } from './fault-event.js'

const SECOND = 1_000

/** Several daemons on one store and one virtual clock, with faults. */
export class Simulation {
  readonly store = new MemoryStore()
  readonly clock = new VirtualClock()
  readonly runs: Array<{ readonly item: string, readonly daemon: string, readonly at: number }> = []
  readonly daemons: SimulatedDaemon[] = []
  readonly shift = { ms: 0 }
  readonly faults = { outageUntil: -1, lostUntil: -1, oldUntil: -1 }
  private readonly dead = new Set<string>()
  private puts = 0

  constructor (readonly options: Pick<ConstructorParameters<typeof SimulatedDaemon>[1], 'answer' | 'runTime' | 'dataFolder' | 'slots'> & { readonly links?: boolean } = {}) {
    this.store.fault = ({ call }) => {
      if (this.second < this.faults.outageUntil) return { fail: { type: 'unavailable', reason: 'outage' } }
      const lost = call === 'put' && this.second < this.faults.lostUntil && ++this.puts % 3 === 0
      return lost ? { loseReply: { type: 'unknown', reason: 'lost' } } : 'none'
    }
  }

  get second (): number {
    return Math.floor(this.clock.now() / SECOND)
  }

  /** The list of instances: killed daemons leave it at once, paused ones stay. */
  readonly members = (): readonly string[] => this.daemons.map(({ name }) => name).filter(name => !this.dead.has(name))

  async start (count: number): Promise<this> {
    for (let n = 0; n < count; n++) this.daemons.push(await this.create(`entry-${n}`).start())
    return this
  }

  /** Advances the clock by a second, after applying the `events` of that second. */
  async step (events: readonly FaultEvent[] = []): Promise<void> {
    for (const event of events) if (event.at === this.second) await this.apply(event)
    for (const { store } of this.daemons) store.oldReads = this.second < this.faults.oldUntil ? 3 : 0
    await this.clock.advance(SECOND)
  }

  async run (seconds: number): Promise<void> {
    for (let i = 0; i < seconds; i++) await this.step()
  }

  private create (name: string): SimulatedDaemon {
    const { store, clock, runs, shift, members } = this
    const send = (to: string, message: PeerMessage): void => {
      const daemon = this.options.links === true ? this.daemons.find(({ name }) => name === to) : undefined
      const handlers = daemon?.supervisor.extensions.map(({ value }) => value as PeerHandler)
      handlers?.find(({ type }) => type === message.type)?.handle(message, name)
    }
    return new SimulatedDaemon(name, { store, clock, runs, shift, members, send, ...this.options })
  }

  private async apply (event: FaultEvent): Promise<void> {
    switch (event.type) {
      case 'kill': return this.kill(event.daemon)
      case 'replace': {
        this.kill(event.daemon)
        this.dead.delete(`entry-${event.daemon}`)
        this.daemons[event.daemon] = await this.create(`entry-${event.daemon}`).start()
        return
      }
      case 'pause': {
        const { clock } = this.daemons[event.daemon]!
        clock.pause()
        this.clock.after(event.length * SECOND, () => this.daemons[event.daemon]!.clock === clock && !this.dead.has(`entry-${event.daemon}`) && clock.resume())
        return
      }
      case 'cut': this.daemons[event.daemon]!.store.cutUntil = this.clock.now() + event.length * SECOND; return
      case 'outage': this.faults.outageUntil = this.second + event.length; return
      case 'lost replies': this.faults.lostUntil = this.second + event.length; return
      case 'old reads': this.faults.oldUntil = this.second + event.length
    }
  }

  kill (daemon: number): void {
    this.daemons[daemon]!.clock.pause()
    this.dead.add(`entry-${daemon}`)
  }
}

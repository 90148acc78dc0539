import { MachinesFleet } from '../../harness/machines-fleet.js'
import { RelayedPort } from '../../harness/relayed-port.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { createConfiguration } from '../../stand-ins/machines/create-configuration.js'
import type { Harm } from './harm.js'
import type { SentVersion } from './sent-version.js'
import { soakSize } from './soak-size.js'

/** Number of the first loopback network of relays; Linux routes all of 127.0.0.0/8 to the machine itself. */
const FIRST_NETWORK = 40

/** A fleet whose ways to store, engines and callers all lead over relays, and what was done to it. */
export class SoakFleet {
  readonly fleet: MachinesFleet
  readonly storeWays = new Map<number, RelayedPort>()
  readonly engineWays = new Map<string, RelayedPort>()
  readonly callerWays: RelayedPort[] = []
  /** Engines that have ended: a server that starts again is another one, under the same id. */
  readonly pastEngines: EventEngine[] = []
  readonly harmed: Harm[] = []
  readonly versions: SentVersion[] = []
  readonly leaving: Array<{ readonly engine: string, readonly at: number }> = []
  readonly exits: string[] = []
  readonly lines: string[] = []
  private readonly expected = new Set<number>()
  private readonly began = performance.now()

  constructor (readonly daemons: number) {
    this.fleet = new MachinesFleet({
      resolveStoreAddress: async (daemon, port) => (await this.openWay(this.storeWays, daemon, { network: daemon, port })).address,
      resolveEngineAddress: async engine => (await this.openWay(this.engineWays, engine.id, { network: 20 + Number(engine.id.slice(2)), port: engine.port })).address
    })
  }

  /** ms since the begin. */
  now (): number {
    return Math.round(performance.now() - this.began)
  }

  async start (): Promise<void> {
    const { fleet } = this
    const engines = Array.from({ length: soakSize.engines }, (_, i) => this.createEngine(`i-${i}`))
    const started = fleet.start({ daemons: this.daemons, engines })
    await fleet.waitUntil('the store runs', () => fleet.store.port > 0)
    this.putConfiguration()
    await started
    for (const [i, { ports }] of fleet.daemons.entries()) {
      const way = new RelayedPort(this.findHost(40 + i), ports.front)
      await way.start()
      this.callerWays.push(way)
      this.watchDaemon(i)
    }
    await fleet.waitUntil('all daemons know one another', async () => (await Promise.all(fleet.daemons.map(async daemon => await fleet.listAddresses(daemon)))).every(({ length }) => length === this.daemons))
  }

  async stop (): Promise<void> {
    for (let i = 0; i < this.daemons; i++) this.expected.add(i)
    await this.fleet.stop()
    for (const way of [...this.storeWays.values(), ...this.engineWays.values(), ...this.callerWays]) way.close()
  }

  /** Notes that a daemon, or each where none is named, can't be held to its bounds in this time. */
  noteHarm (daemon: number | undefined, from: number, to: number): void {
    this.harmed.push({ daemon, from, to })
  }

  putConfiguration (): void {
    const version = this.versions.length + 1
    const hasExtra = version % 2 === 0
    this.fleet.store.put('config', 'main', createConfiguration(version, { hasExtra }))
    this.versions.push({ version, at: this.now(), hasExtra })
  }

  /** Kills or ends a daemon; it is started again once it has gone and `pause` ms have passed. */
  async restartDaemon (daemon: number, signal: 'SIGKILL' | 'SIGTERM', pause: number): Promise<void> {
    const known = this.fleet.daemons[daemon]!
    this.expected.add(daemon)
    known.child!.signal(signal)
    await known.child!.waitForExit()
    await new Promise(resolve => setTimeout(resolve, pause))
    await this.fleet.startDaemon(known)
    this.expected.delete(daemon)
    this.watchDaemon(daemon)
  }

  async restartEngine (index: number, pause: number): Promise<void> {
    const old = this.fleet.engines[index]!
    old.stop()
    this.pastEngines.push(old)
    await new Promise(resolve => setTimeout(resolve, pause))
    const next = this.createEngine(old.id)
    await next.start(old.port)
    this.fleet.engines[index] = next
    registerEngine(this.fleet.store, next, { address: this.engineWays.get(next.id)!.address })
  }

  leaveEngine (index: number): void {
    const engine = this.fleet.engines[index]!
    registerEngine(this.fleet.store, engine, { address: this.engineWays.get(engine.id)!.address, state: 'draining' })
    this.leaving.push({ engine: engine.id, at: this.now() })
  }

  private createEngine (id: string): EventEngine {
    return new EventEngine({ id, slots: soakSize.slots, events: soakSize.events, pause: soakSize.pause, now: () => this.now() })
  }

  private watchDaemon (daemon: number): void {
    const { child } = this.fleet.daemons[daemon]!
    child!.onLine(line => this.lines.push(line))
    void child!.waitForExit().then(code => {
      if (!this.expected.has(daemon)) this.exits.push(`daemon ${daemon} ended by itself with ${code} at ${this.now()} ms: ${child!.errors.slice(-500)}`)
    })
  }

  private async openWay<K> (ways: Map<K, RelayedPort>, key: K, { network, port }: { readonly network: number, readonly port: number }): Promise<RelayedPort> {
    const way = new RelayedPort(this.findHost(network), port)
    await way.start()
    ways.set(key, way)
    return way
  }

  /** An address of its own for each way and each process that runs soaks. */
  private findHost (network: number): string {
    return `127.${FIRST_NETWORK + network}.${process.pid >> 8 & 0xff}.${process.pid & 0xff || 1}`
  }
}

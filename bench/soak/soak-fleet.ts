import { MachinesFleet } from '../../harness/machines-fleet.js'
import { RelayedPort } from '../../harness/relayed-port.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { createConfiguration } from '../../stand-ins/machines/create-configuration.js'
import type { Disturbance } from './disturbance.js'
import type { SentVersion } from './sent-version.js'
import { soakKeys } from './soak-keys.js'
import type { SoakRecord } from './soak-record.js'
import { soakSize } from './soak-size.js'

/** Second octet of the first loopback network of the relays; Linux routes all of 127.0.0.0/8 to the machine itself. */
const FIRST_NETWORK = 40
/** The first network of engines that were moved, from there. */
const MOVED_NETWORK = 80

/** A fleet whose connections to the store, engines and callers all pass through relays, with a record of what was done to it. */
export class SoakFleet {
  readonly fleet: MachinesFleet
  readonly storeRelays = new Map<number, RelayedPort>()
  readonly engineRelays = new Map<string, RelayedPort>()
  readonly callerRelays: RelayedPort[] = []
  /** Stopped engines, whose runs are still checked; a restarted engine is a new object with the same id. */
  readonly stoppedEngines: EventEngine[] = []
  readonly harmed: Disturbance[] = []
  readonly resets: Array<SoakRecord['resets'][number]> = []
  readonly versions: SentVersion[] = []
  readonly leaving: Array<{ readonly engine: string, readonly at: number, until: number }> = []
  readonly exits: string[] = []
  readonly lines: string[] = []
  /** Whether callers send requests with a part that crashes servers. */
  sendsBadParts = false
  /** Ports of the store, by daemon. */
  private readonly storePorts = new Map<number, number>()
  /** Restarts of engines that have begun, by index. */
  private readonly restarts = new Map<number, Promise<void>>()
  private moves = 0
  /** Relays at the former addresses of engines that were moved. */
  private readonly movedRelays: RelayedPort[] = []
  private readonly expectedExits = new Set<number>()
  private readonly startedAt = performance.now()

  /** With `usesParts`, requests and items have parts of a prompt in common. */
  constructor (readonly daemons: number, readonly usesParts: boolean) {
    this.fleet = new MachinesFleet({
      store: new ObjectApi(),
      resolveStoreAddress: async daemon => {
        const port = await this.fleet.store.openPort()
        this.storePorts.set(daemon, port)
        return (await this.openRelay(this.storeRelays, daemon, { network: daemon, port })).address
      },
      resolveEngineAddress: async engine => (await this.openRelay(this.engineRelays, engine.id, { network: 20 + Number(engine.id.slice(2)), port: engine.port })).address
    })
  }

  /** Returns the time in ms since this object was created. */
  now (): number {
    return Math.round(performance.now() - this.startedAt)
  }

  async start (): Promise<void> {
    const { fleet } = this
    const engines = Array.from({ length: soakSize.engines }, (_, i) => this.createEngine(`i-${i}`, 1))
    const started = fleet.start({ daemons: this.daemons, engines })
    await fleet.waitUntil('the store runs', () => fleet.store.port > 0)
    this.putConfiguration()
    await started
    for (const [i, { ports }] of fleet.daemons.entries()) {
      const relay = new RelayedPort(this.chooseHost(40 + i), ports.front)
      await relay.start()
      this.callerRelays.push(relay)
      this.watchDaemon(i)
    }
    await fleet.waitUntil('every daemon lists all daemons', async () => (await Promise.all(fleet.daemons.map(async daemon => await fleet.listAddresses(daemon)))).every(({ length }) => length === this.daemons))
  }

  async stop (): Promise<void> {
    for (let i = 0; i < this.daemons; i++) this.expectedExits.add(i)
    await this.fleet.stop()
    for (const relay of [...this.storeRelays.values(), ...this.engineRelays.values(), ...this.movedRelays, ...this.callerRelays]) relay.close()
  }

  /** Records a time span in which the bounds don't apply to a daemon, or to any daemon where it is undefined. */
  recordDisturbance (daemon: number | undefined, from: number, to: number): void {
    this.harmed.push({ daemon, from, to })
  }

  putConfiguration (): void {
    const version = this.versions.length + 1
    const hasExtra = version % 2 === 0
    const { usual, hot } = soakKeys
    this.fleet.store.put('config', 'main', createConfiguration(version, { hasExtra, callers: [usual, hot] }))
    this.versions.push({ version, at: this.now(), hasExtra })
  }

  /** Signals a daemon, waits for it to exit, and starts it again `pause` ms later. */
  async restartDaemon (daemon: number, signal: 'SIGKILL' | 'SIGTERM', pause: number): Promise<void> {
    const known = this.fleet.daemons[daemon]!
    this.expectedExits.add(daemon)
    known.child!.signal(signal)
    await known.child!.waitForExit()
    await new Promise(resolve => setTimeout(resolve, pause))
    await this.fleet.startDaemon(known)
    this.expectedExits.delete(daemon)
    this.watchDaemon(daemon)
  }

  /** Sets how the store answers all calls of a daemon while it serves the others; undefined for no fault. */
  setStoreAway (daemon: number, answer: 'busy' | 'limited' | 'silent' | undefined): void {
    const port = this.storePorts.get(daemon)!
    if (answer === undefined) this.fleet.store.downAtPort.delete(port)
    else this.fleet.store.downAtPort.set(port, answer)
  }

  /** Stops an engine and starts it again `pause` ms later; does nothing more for one that is restarting. */
  async restartEngine (index: number, pause: number, { isUpgraded = false, isMoved = false } = {}): Promise<void> {
    if (this.restarts.has(index)) return await this.restarts.get(index)
    const restart = this.replaceEngine(index, pause, { isUpgraded, isMoved }).finally(() => this.restarts.delete(index))
    this.restarts.set(index, restart)
    await restart
  }

  /** Resolves once every engine runs. */
  async waitForEngines (): Promise<void> {
    await Promise.all(this.restarts.values())
  }

  private async replaceEngine (index: number, pause: number, { isUpgraded, isMoved }: { readonly isUpgraded: boolean, readonly isMoved: boolean }): Promise<void> {
    const old = this.fleet.engines[index]!
    old.stop()
    this.stoppedEngines.push(old)
    await new Promise(resolve => setTimeout(resolve, pause))
    const next = this.createEngine(old.id, Number(old.version) + Number(isUpgraded))
    await next.start(isMoved ? 0 : old.port)
    if (isMoved) {
      this.movedRelays.push(this.engineRelays.get(old.id)!)
      await this.openRelay(this.engineRelays, old.id, { network: MOVED_NETWORK + this.moves++, port: next.port })
    }
    this.fleet.engines[index] = next
    for (const leave of this.leaving) if (leave.engine === next.id) leave.until = Math.min(leave.until, this.now())
    registerEngine(this.fleet.store, next, { address: this.engineRelays.get(next.id)!.address })
  }

  drainEngine (index: number): void {
    const engine = this.fleet.engines[index]!
    registerEngine(this.fleet.store, engine, { address: this.engineRelays.get(engine.id)!.address, state: 'draining' })
    this.leaving.push({ engine: engine.id, at: this.now(), until: Infinity })
  }

  private createEngine (id: string, version: number): EventEngine {
    const engine = new EventEngine({ id, version: String(version), slots: soakSize.slots, events: soakSize.events, pause: soakSize.pause, now: () => this.now() })
    engine.crashes = parts => parts.includes(soakSize.badPart)
    engine.onCrash = () => { void this.restartEngine(Number(id.slice(2)), soakSize.crashDowntime) }
    return engine
  }

  private watchDaemon (daemon: number): void {
    const { child } = this.fleet.daemons[daemon]!
    child!.onLine(line => this.lines.push(line))
    void child!.waitForExit().then(code => {
      if (!this.expectedExits.has(daemon)) this.exits.push(`daemon ${daemon} exited unexpectedly with ${code} at ${this.now()} ms: ${child!.errors.slice(-500)}`)
    })
  }

  private async openRelay<K> (relays: Map<K, RelayedPort>, key: K, { network, port }: { readonly network: number, readonly port: number }): Promise<RelayedPort> {
    const relay = new RelayedPort(this.chooseHost(network), port)
    await relay.start()
    relays.set(key, relay)
    return relay
  }

  /** Returns an address that is unique to the relay's network and to this process, so that several soaks can run at once. */
  private chooseHost (network: number): string {
    return `127.${FIRST_NETWORK + network}.${process.pid >> 8 & 0xff}.${process.pid & 0xff || 1}`
  }
}

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import type { EventEngine } from '../stand-ins/machines/event-engine.js'
import type { ObjectApi } from '../stand-ins/machines/object-api.js'
import { listAddresses } from '../stand-ins/machines/list-addresses.js'
import type { DaemonPorts } from '../stand-ins/machines/daemon-ports.js'
import { registerEngine } from '../stand-ins/machines/register-engine.js'
import type { MachineLimits } from '../stand-ins/machines/machine-limits.js'
import { formatSettings } from '../stand-ins/machines/format-settings.js'
import { Child } from './child.js'
import type { FleetEngine } from './fleet-engine.js'
import type { FleetStore } from './fleet-store.js'
import { PortAllocator } from './port-allocator.js'

const PROGRAM = [process.execPath, 'target/citronwheel.cjs']
/** Timeout of a wait for a condition, and the pause between two checks, ms. */
const WAIT_TIMEOUT = 20_000
const POLL_PERIOD = 20
/** Timeout of one readiness check, ms. Another process may hold the port and never answer. */
const READY_TIMEOUT = 1_000
const allocator = new PortAllocator()

/** One daemon of the fleet, running or not. */
interface FleetDaemon {
  readonly ports: DaemonPorts
  readonly settings: string
  child?: Child
}

/** The store, and addresses, HOST:PORT, at which a daemon reaches it and at which all daemons reach an engine; direct ones by default. */
interface MachinesFleetOptions<S> {
  /** Is started and stopped with the fleet. */
  readonly store: S
  readonly resolveStoreAddress?: (daemon: number, port: number) => Promise<string>
  readonly resolveEngineAddress?: (engine: FleetEngine) => Promise<string>
  /** Returns further environment variables of a daemon's process; all daemons have their ports by then. */
  readonly getEnvironment?: (daemon: number) => Readonly<Record<string, string>>
  /** The command of a daemon, without its role. */
  readonly program?: readonly string[]
  /** What the settings say of each daemon's machine; nothing by default. */
  readonly machine?: MachineLimits
}

/** Store, engines and daemons of the users' platform on loopback. Daemons are processes. */
export class MachinesFleet<E extends FleetEngine = EventEngine, S extends FleetStore = ObjectApi> {
  readonly store: S
  readonly engines: E[] = []
  readonly daemons: FleetDaemon[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'citronwheel-'))
  private readonly options: Required<Omit<MachinesFleetOptions<S>, 'store' | 'machine'>> & Pick<MachinesFleetOptions<S>, 'machine'>

  constructor ({ store, resolveStoreAddress = async (_daemon, port) => `127.0.0.1:${port}`, resolveEngineAddress = async ({ port }) => `127.0.0.1:${port}`, getEnvironment = () => ({}), program = PROGRAM, machine }: MachinesFleetOptions<S>) {
    this.store = store
    this.options = { resolveStoreAddress, resolveEngineAddress, getEnvironment, program, machine }
  }

  async start ({ daemons, engines }: { readonly daemons: number, readonly engines: readonly E[] }): Promise<void> {
    await this.store.start()
    for (const engine of engines) await this.addEngine(engine)
    for (let i = 0; i < daemons; i++) await this.addDaemon(i)
    for (const daemon of this.daemons) await this.startDaemon(daemon)
  }

  async stop (): Promise<void> {
    for (const { child } of this.daemons) child?.signal('SIGKILL')
    await Promise.all(this.daemons.map(async ({ child }) => await child?.waitForExit()))
    allocator.release(this.daemons.flatMap(({ ports }) => Object.values(ports)))
    for (const engine of this.engines) engine.stop()
    this.store.stop()
    rmSync(this.folder, { recursive: true })
  }

  /** Starts the process and waits until it is ready. */
  async startDaemon (daemon: FleetDaemon): Promise<void> {
    const { child } = await Child.start(['entry'], { program: this.options.program, env: { ...this.options.getEnvironment(this.daemons.indexOf(daemon)), CITRONWHEEL_BOOT: daemon.settings } })
    daemon.child = child
    let ended: number | undefined
    void child.waitForExit().then(code => { ended = code })
    await this.waitUntil('a daemon is ready', async () => {
      if (ended !== undefined && daemon.child === child) throw new Error(`a daemon exited during startup with ${ended}: ${child.errors}`)
      return await this.isReady(daemon)
    })
  }

  async isReady ({ ports }: FleetDaemon): Promise<boolean> {
    const answer = await request(`http://127.0.0.1:${ports.readiness}/api/ready`, { signal: AbortSignal.timeout(READY_TIMEOUT) }).catch(() => undefined)
    await answer?.body.dump().catch(() => {})
    return answer?.statusCode === 200
  }

  /** Returns the entry addresses that a daemon announces to callers. */
  async listAddresses ({ ports }: FleetDaemon): Promise<readonly string[]> {
    return await listAddresses(ports.directory)
  }

  /** Resolves once `check` holds; rejects with `what` after `WAIT_TIMEOUT`. */
  async waitUntil (what: string, check: () => Promise<boolean> | boolean): Promise<void> {
    const end = Date.now() + WAIT_TIMEOUT
    while (!await check()) {
      if (Date.now() > end) throw new Error(`timed out waiting for: ${what}`)
      await new Promise(resolve => setTimeout(resolve, POLL_PERIOD))
    }
  }

  private async addEngine (engine: E): Promise<void> {
    await engine.start()
    this.engines.push(engine)
    registerEngine(this.store, engine, { address: await this.options.resolveEngineAddress(engine) })
  }

  private async addDaemon (index: number): Promise<void> {
    const [front, readiness, control, directory, metrics] = await allocator.claim(5)
    const ports = { front, readiness, control, directory, metrics } as DaemonPorts
    const settings = join(this.folder, `daemon-${index}.toml`)
    writeFileSync(settings, formatSettings({ name: `edge-${index}`, ports, store: await this.options.resolveStoreAddress(index, this.store.port), machine: this.options.machine }))
    this.daemons.push({ ports, settings })
  }
}

import type { FleetHistory } from './fleet-history.js'
import type { DecisionInputs } from './decision-inputs.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import { logPatterns } from './log-patterns.js'

interface Timed<T> { readonly value: T, readonly since: number }

/** Reconstructs the configuration and server states that one daemon held, from its log up to the current line. */
export class InstanceState {
  private configuration: Timed<number> | undefined
  private storeDownSince: number | undefined
  private readonly servers = new Map<string, Timed<string>>()

  constructor (private readonly history: FleetHistory) {}

  /** Records the next line of the daemon. */
  observe (line: LogLine): void {
    if (logPatterns.isStart(line)) this.reset()
    const { part, time, fields: { version, server, state, error, revision } } = line
    if (typeof server === 'string' && typeof state === 'string') this.servers.set(server, { value: state, since: time })
    if (part !== 'fleet' && part !== 'configuration') return
    if (typeof version === 'number') this.configuration = { value: version, since: time }
    if (error !== undefined) this.storeDownSince ??= time
    else if (revision !== undefined) this.storeDownSince = undefined
  }

  /** Returns the state that the daemon used when it wrote the line; call before `observe` of that line. */
  getInputs (line: LogLine): DecisionInputs {
    const { configuration, storeDownSince } = this
    return {
      ...configuration !== undefined && { configuration: this.getConfiguration(configuration, line.time) },
      servers: listLineServers(line).flatMap(server => this.getServer(server, line.time)),
      ...storeDownSince !== undefined && { storeAway: line.time - storeDownSince }
    }
  }

  private getConfiguration ({ value: version, since }: Timed<number>, time: number): NonNullable<DecisionInputs['configuration']> {
    const elsewhere = this.history.findNewerConfiguration(version, time)
    return { version, age: time - since, ...elsewhere !== undefined && { elsewhere } }
  }

  private getServer (server: string, time: number): DecisionInputs['servers'] {
    const known = this.servers.get(server)
    if (known === undefined) return []
    const { value: state, since } = known
    const elsewhere = this.history.findLaterState(server, { state, since, time })
    return [{ server, state, age: time - since, ...elsewhere !== undefined && { elsewhere } }]
  }

  private reset (): void {
    this.configuration = undefined
    this.storeDownSince = undefined
    this.servers.clear()
  }
}

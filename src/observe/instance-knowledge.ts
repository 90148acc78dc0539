import type { FleetNews } from './fleet-news.js'
import type { KnownInputs } from './known-inputs.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import { logSentences } from './log-sentences.js'

interface Known<T> { readonly value: T, readonly since: number }

/** What one daemon knew at each line of its log, by the lines before it. */
export class InstanceKnowledge {
  private configuration: Known<number> | undefined
  private awaySince: number | undefined
  private readonly servers = new Map<string, Known<string>>()

  constructor (private readonly news: FleetNews) {}

  /** Takes the next line of the daemon. */
  observe (line: LogLine): void {
    if (logSentences.isStart(line)) this.forget()
    const { part, time, fields: { version, server, state, error, revision } } = line
    if (typeof server === 'string' && typeof state === 'string') this.servers.set(server, { value: state, since: time })
    if (part !== 'fleet' && part !== 'configuration') return
    if (typeof version === 'number') this.configuration = { value: version, since: time }
    if (error !== undefined) this.awaySince ??= time
    else if (revision !== undefined) this.awaySince = undefined
  }

  /** What the daemon went by when it wrote the line. */
  show (line: LogLine): KnownInputs {
    const { configuration, awaySince } = this
    return {
      ...configuration !== undefined && { configuration: this.showConfiguration(configuration, line.time) },
      servers: listLineServers(line).flatMap(server => this.showServer(server, line.time)),
      ...awaySince !== undefined && { storeAway: line.time - awaySince }
    }
  }

  private showConfiguration ({ value: version, since }: Known<number>, time: number): NonNullable<KnownInputs['configuration']> {
    const elsewhere = this.news.findNewer(version, time)
    return { version, age: time - since, ...elsewhere !== undefined && { elsewhere } }
  }

  private showServer (server: string, time: number): KnownInputs['servers'] {
    const known = this.servers.get(server)
    if (known === undefined) return []
    const { value: state, since } = known
    const elsewhere = this.news.findOther(server, { state, since, time })
    return [{ server, state, age: time - since, ...elsewhere !== undefined && { elsewhere } }]
  }

  private forget (): void {
    this.configuration = undefined
    this.awaySince = undefined
    this.servers.clear()
  }
}

import type { Clock } from '../../kernel/clock.js'
import type { LogSink } from '../../observe/log-sink.js'
import type { Instance } from '../../store/instance.js'
import type { InstanceList } from '../../store/instance-list.js'
import type { BackendServer } from './backend-server.js'

/**
 * How long a server whose process has exited isn't used, ms, unless its entry shows another start sooner: three status reports of a server,
 * after whose absence its entry is removed, and the time for that to be known.
 */
const KEEP_OUT = 5_000
/** Shortest time for which a server that did not state its start isn't used, ms; later as long as it has not for. */
const MIN_UNSTATED = 500

/** A process whose reports have stated no start from `since` on and that isn't asked again before `until`, monotonic ms. */
interface UnstatedProcess { readonly since: number, readonly until: number }

interface ExitedProcess { readonly startedAt: number, readonly until: number }

/** A process whose report states another start than its server's entry, `listed`; none where `startedAt` is undefined. */
interface UnlistedProcess { readonly listed: number | undefined, readonly startedAt: number | undefined }

interface ServerProcessesOptions {
  readonly list: InstanceList
  readonly clock: Pick<Clock, 'now'>
  readonly log: LogSink
}

/** What is known of the servers' processes beyond their entries, which may be older: those that have exited, and those whose reports differ. */
export class ServerProcesses {
  private readonly exited = new Map<string, ExitedProcess>()
  private readonly unlisted = new Map<string, UnlistedProcess>()
  private readonly unstated = new Map<string, UnstatedProcess>()
  /** By server: when its entry showed another start, monotonic ms. */
  private readonly restartedAt = new Map<string, number>()

  constructor (private readonly options: ServerProcessesOptions) {
    const { list, clock } = options
    list.subscribeRestarts(server => {
      this.restartedAt.set(server, clock.now())
      this.unstated.delete(server)
    })
    list.subscribe(() => this.forgetRemoved())
  }

  /**
   * Records that the server's process was found to have exited `ago` ms ago. Another process may listen at its address before its entry
   * shows that, with another version of its software.
   */
  recordExit (server: string, ago: number): void {
    const { list, clock, log } = this.options
    const at = clock.now() - ago
    const startedAt = list.find(server)?.startedAt
    if (startedAt === undefined || at < (this.restartedAt.get(server) ?? -Infinity)) return
    if (this.exited.get(server)?.startedAt !== startedAt) log.write('info', 'routing', 'leaves out a server whose process has exited', { server, ago: Math.round(ago), for: KEEP_OUT })
    this.exited.set(server, { startedAt, until: at + KEEP_OUT })
  }

  /**
   * Records the start of the process that answered at an address, HOST:PORT, for the servers there that aren't known to have it: an address has
   * one process at a time. Where an entry shows another start, the server isn't used before its entry had time to follow.
   */
  recordUnlisted (address: string, startedAt: number): void {
    for (const instance of this.listAt(address)) {
      const { name, startedAt: listed } = instance
      if (this.findStart(instance) === startedAt) continue
      if (listed === startedAt) {
        this.unlisted.delete(name)
        continue
      }
      this.options.log.write('info', 'routing', 'another process than the listed one listens', { server: name, listed, startedAt })
      this.recordExit(name, 0)
      this.unlisted.set(name, { listed, startedAt })
    }
  }

  /** Records that the process at an address, HOST:PORT, stated its start. */
  recordStated (address: string): void {
    for (const { name } of this.listAt(address)) this.unstated.delete(name)
  }

  /**
   * Records that the process at an address, HOST:PORT, answered without its start. A busy server may refuse some reports, and is used again
   * soon; one that goes on to state none is used as an unlisted process then.
   */
  recordUnstated (address: string): void {
    const now = this.options.clock.now()
    for (const instance of this.listAt(address)) {
      const { name, startedAt: listed } = instance
      const unlisted = this.findUnlisted(instance)
      if (unlisted !== undefined && unlisted.startedAt === undefined) continue
      const since = this.unstated.get(name)?.since ?? now
      const until = Math.min(since + KEEP_OUT, now + Math.max(MIN_UNSTATED, now - since))
      this.unstated.set(name, { since, until })
      this.options.log.write('info', 'routing', 'a process did not state its start', { server: name, listed, since: Math.round(now - since), for: Math.round(until - now) })
      if (now >= since + KEEP_OUT) this.unlisted.set(name, { listed, startedAt: undefined })
    }
  }

  /**
   * Whether the process that the entry shows has exited, or may have, as the one at its address did not state its start. Without the time of
   * its start, no entry would show another process.
   */
  hasExited ({ name, startedAt }: Pick<Instance, 'name' | 'startedAt'>): boolean {
    if (this.options.clock.now() < (this.unstated.get(name)?.until ?? -Infinity)) return true
    const exited = this.exited.get(name)
    if (exited === undefined) return false
    if (startedAt === exited.startedAt && this.options.clock.now() < exited.until) return true
    this.exited.delete(name)
    return false
  }

  /** Returns the version of the software of a server's process, see `InstanceList.findVersion`; an unlisted process is a version of its own. */
  findVersion (server: string): string | undefined {
    const { list } = this.options
    const instance = list.find(server)
    const unlisted = instance === undefined ? undefined : this.findUnlisted(instance)
    return unlisted === undefined ? list.findVersion(server) : `?${server}@${unlisted.startedAt ?? 'unstated'}`
  }

  /** Returns the start of a server's process, Unix ms by the server's clock; undefined where it isn't known. */
  findStart (instance: Instance): number | undefined {
    const unlisted = this.findUnlisted(instance)
    return unlisted === undefined ? instance.startedAt : unlisted.startedAt
  }

  /** Whether the server's process is still the one that requests go to; always for a removed server whose start wasn't known. */
  isCurrent ({ name, startedAt, version }: Pick<BackendServer, 'name' | 'startedAt' | 'version'>): boolean {
    const instance = this.options.list.find(name)
    if (instance === undefined) return startedAt === undefined
    return this.findStart(instance) === startedAt && (this.findUnlisted(instance) === undefined || this.findVersion(name) === version)
  }

  /** Lists the servers at an address, HOST:PORT. */
  listAt (address: string): readonly Instance[] {
    return this.options.list.all.filter(({ host, port }) => `${host}:${port}` === address)
  }

  /**
   * Lists the starts of the processes of the servers at an address, HOST:PORT; undefined for one whose start isn't known. Undefined if no
   * entry there shows one, so that there is nothing to compare.
   */
  listStarts (address: string): ReadonlyArray<number | undefined> | undefined {
    const instances = this.listAt(address)
    const starts = instances.map(instance => this.findStart(instance))
    return instances.some(({ startedAt }, i) => (startedAt ?? starts[i]) !== undefined) ? starts : undefined
  }

  private findUnlisted ({ name, startedAt }: Instance): UnlistedProcess | undefined {
    const unlisted = this.unlisted.get(name)
    return unlisted?.listed === startedAt ? unlisted : undefined
  }

  private forgetRemoved (): void {
    for (const server of [...this.exited.keys(), ...this.restartedAt.keys(), ...this.unlisted.keys(), ...this.unstated.keys()]) {
      if (this.options.list.find(server) !== undefined) continue
      this.exited.delete(server)
      this.unlisted.delete(server)
      this.unstated.delete(server)
      this.restartedAt.delete(server)
    }
  }
}

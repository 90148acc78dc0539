import type { Clock } from '../kernel/clock.js'
import type { Extension } from '../kernel/extension.js'
import { askEach } from './ask-each.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import type { PeerLinks } from './peer-links.js'
import type { PeerMessage } from './peer-message.js'
import { PendingCalls } from './pending-calls.js'

type Fields = Readonly<Record<string, unknown>>

interface MemberQueriesOptions<T> {
  readonly links: Pick<PeerLinks, 'send'>
  readonly clock: Clock
  /** Types of the two messages. */
  readonly requestType: string
  readonly answerType: string
  /** Time allowed for each answer, ms. */
  readonly timeout: number
  /** Maximum number of requests in flight; no limit by default. */
  readonly concurrency?: number
  /** Returns the fields of this daemon's answer, or undefined to send none. */
  readonly handle: () => Promise<Fields | undefined>
  /** Decodes an answer. */
  readonly read: (message: PeerMessage, from: string) => T
}

interface QueryResult<T> {
  /** By daemon, in the order of arrival. */
  readonly answers: ReadonlyMap<string, T>
  /** Daemons that didn't answer in time, sorted. */
  readonly unresponsive: readonly string[]
}

/**
 * Sends a request to several daemons and collects their answers. An answer counts once, in time, and from the daemon that was
 * asked. A part creates one instance for each kind of request and registers its `extensions`.
 */
export class MemberQueries<T> {
  readonly extensions: readonly Extension[]
  private readonly pending: PendingCalls<readonly [string, T]>

  constructor (private readonly options: MemberQueriesOptions<T>) {
    this.pending = new PendingCalls(options.clock)
    this.extensions = [
      peerHandlerPoint.of({ type: options.requestType, handle: (message, from) => { void this.answer(message, from) } }),
      peerHandlerPoint.of({ type: options.answerType, handle: (message, from) => this.receive(message, from) })
    ]
  }

  /** Sends the request to each of `names` once. Resolves when each has answered or timed out. */
  async ask (names: readonly string[]): Promise<QueryResult<T>> {
    const { answers, unresponsive } = await askEach(names, async name => await this.sendQuery(name), this.options.concurrency ?? names.length)
    return { answers: new Map(answers), unresponsive }
  }

  /** Ends all pending requests; their daemons count as unresponsive. */
  stop (): void {
    this.pending.stop()
  }

  private async sendQuery (to: string): Promise<readonly [string, T] | undefined> {
    const { links, requestType: type, timeout } = this.options
    return await this.pending.open(to, timeout, id => links.send(to, { type, id }))
  }

  private async answer ({ id }: PeerMessage, from: string): Promise<void> {
    const fields = await this.options.handle()
    if (fields !== undefined) this.options.links.send(from, { type: this.options.answerType, id, ...fields })
  }

  private receive (message: PeerMessage, from: string): void {
    const id = message.id as number
    if (this.pending.has(id, from)) this.pending.settle(id, [from, this.options.read(message, from)])
  }
}

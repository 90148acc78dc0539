import type { Clock } from '../kernel/clock.js'
import type { Extension } from '../kernel/extension.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import type { PeerLinks } from './peer-links.js'
import { PendingCalls } from './pending-calls.js'

interface MemberCallsOptions<Question, Answer> {
  readonly links: Pick<PeerLinks, 'send'>
  readonly clock: Clock
  /** Prefix of the types of both messages. */
  readonly name: string
  /** Answers another daemon's call; undefined if this daemon can't. */
  readonly handle: (question: Question, from: string) => Promise<Answer | undefined>
}

/**
 * Calls to single daemons, each with a question and one answer. A call resolves with undefined if no answer arrives in time. A
 * part creates one instance for each kind of call and registers its `extensions`.
 */
export class MemberCalls<Question, Answer> {
  readonly extensions: readonly Extension[]
  private readonly pending: PendingCalls<Answer>

  constructor (private readonly options: MemberCallsOptions<Question, Answer>) {
    this.pending = new PendingCalls(options.clock)
    this.extensions = [
      peerHandlerPoint.of({ type: `${options.name} call`, handle: ({ n, question }, from) => { void this.answer(n, question as Question, from) } }),
      peerHandlerPoint.of({ type: `${options.name} answer`, handle: ({ n, answer }, from) => { if (this.pending.has(n as number, from)) this.pending.settle(n as number, answer as Answer | undefined) } })
    ]
  }

  async call (to: string, question: Question, timeout: number): Promise<Answer | undefined> {
    const { links, name } = this.options
    return await this.pending.open(to, timeout, n => links.send(to, { type: `${name} call`, n, question }))
  }

  private async answer (n: unknown, question: Question, from: string): Promise<void> {
    const answer = await this.options.handle(question, from)
    this.options.links.send(from, { type: `${this.options.name} answer`, n, answer })
  }
}

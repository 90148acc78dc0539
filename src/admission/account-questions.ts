import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { listOthers } from '../peers/list-others.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { AccountFlush } from './account-flush.js'
import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'
import { askEach } from './ask-each.js'

type Parts = Readonly<Record<string, AccountPart>>

interface Told {
  readonly parts: Parts
  /** Daemons that didn't answer in time. */
  readonly silent: readonly string[]
}

const QUESTION = 'account question'
const ANSWER = 'account answer'
/** Questions under way at once, and how long each may take: 63 silent daemons, a failure domain, cost 8 s. */
const CONCURRENCY = 16
const TIMEOUT = 2_000

/**
 * Asks each daemon, once a read, for what it has counted and not flushed yet. An answer holds only rows that differ
 * from what the daemon last wrote, so that its size goes with the last ten seconds and not with the day.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountQuestions implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: QUESTION, handle: (message, from) => { void this.answer(message, from) } }),
    peerHandlerPoint.of({ type: ANSWER, handle: (message, from) => this.hear(message, from) })
  ]

  private readonly waiting = new Map<number, { readonly from: string, readonly resolve: (parts: Parts | undefined) => void }>()
  private questions = 0

  constructor (
    @inject(AccountFlush) private readonly flush: AccountFlush,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    for (const { resolve } of this.waiting.values()) resolve(undefined)
  }

  /** What every daemon has counted, this one among them. */
  async askAll (): Promise<Told> {
    const others = listOthers(this.members.all(), this.settings.instance)
    const { answers, silent } = await askEach(others, async name => await this.ask(name), CONCURRENCY)
    return { parts: Object.assign({}, await this.flush.peek(), ...answers), silent }
  }

  private async ask (from: string): Promise<Parts | undefined> {
    const id = this.questions++
    return await new Promise(resolve => {
      const settle = (parts: Parts | undefined): void => {
        cancel()
        this.waiting.delete(id)
        resolve(parts)
      }
      const cancel = this.clock.after(TIMEOUT, () => settle(undefined))
      this.waiting.set(id, { from, resolve: settle })
      this.links.send(from, { type: QUESTION, id })
    })
  }

  /** Stays silent with more rows than a part may have, as after an outage: the frame would be over its limit and cost the link. */
  private async answer ({ id }: PeerMessage, from: string): Promise<void> {
    const parts = await this.flush.peek()
    const rows = Object.values(parts).reduce((sum, part) => sum + Object.keys(part.rows).length, 0)
    if (rows <= accountLimits.rows) this.links.send(from, { type: ANSWER, id, parts })
  }

  /** Only a daemon itself can tell of its parts. */
  private hear ({ id, parts }: PeerMessage, from: string): void {
    const waiting = this.waiting.get(id as number)
    if (waiting?.from !== from) return
    waiting.resolve(Object.fromEntries(Object.entries(parts as Parts).filter(([, { instance }]) => instance === from)))
  }
}

partRegistry.register({ name: 'account questions', part: AccountQuestions, needs: ['account flush', 'members', 'peer links'] })

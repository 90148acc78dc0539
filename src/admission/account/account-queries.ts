import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Extension } from '../../kernel/extension.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { listOthers } from '../../peers/list-others.js'
import { MemberQueries } from '../../peers/member-queries.js'
import { Members } from '../../peers/members.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { AccountFlush } from './account-flush.js'
import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'

type Parts = Readonly<Record<string, AccountPart>>

interface QueriedParts {
  readonly parts: Parts
  /** Daemons that didn't answer in time. */
  readonly unresponsive: readonly string[]
}

const REQUEST_TYPE = 'account question'
const ANSWER_TYPE = 'account answer'
/** Limit on requests in flight, and the time allowed for each, ms. A failure domain of 63 unresponsive daemons takes 8 s. */
const CONCURRENCY = 16
const TIMEOUT = 2_000

/**
 * Collects the counts that daemons have not flushed yet, once for each read of the account. An answer holds only rows that
 * differ from those last written, so that its size depends on the time since the last flush and not on the day.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountQueries implements Part {
  readonly extensions: readonly Extension[]
  private readonly queries: MemberQueries<Parts>

  constructor (
    @inject(AccountFlush) private readonly flush: AccountFlush,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) clock: Clock
  ) {
    this.queries = new MemberQueries({ links, clock, requestType: REQUEST_TYPE, answerType: ANSWER_TYPE, timeout: TIMEOUT, concurrency: CONCURRENCY, handle: async () => await this.answer(), read: keepOwn })
    this.extensions = this.queries.extensions
  }

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    this.queries.stop()
  }

  /** Returns the unflushed counts of all daemons, including this one. */
  async askAll (): Promise<QueriedParts> {
    const { answers, unresponsive } = await this.queries.ask(listOthers(this.members.all(), this.settings.instance))
    return { parts: Object.assign({}, await this.flush.peek(), ...answers.values()), unresponsive }
  }

  /**
   * Returns undefined, which sends no answer, for more rows than a part may have, as after an outage: the frame would exceed
   * its limit and close the link.
   */
  private async answer (): Promise<{ readonly parts: Parts } | undefined> {
    const parts = await this.flush.peek()
    const rows = Object.values(parts).reduce((sum, part) => sum + Object.keys(part.rows).length, 0)
    return rows <= accountLimits.maxRows ? { parts } : undefined
  }
}

/** Keeps the parts of the daemon that sent them. */
function keepOwn ({ parts }: PeerMessage, from: string): Parts {
  return Object.fromEntries(Object.entries(parts as Parts).filter(([, { instance }]) => instance === from))
}

partRegistry.register({ name: 'account questions', part: AccountQueries, needs: ['account flush', 'members', 'peer links'] })

import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'
import { AccountQueries } from './account-queries.js'
import { Account } from './account.js'
import { listDays } from './list-days.js'
import { mergeAccount } from './merge-account.js'
import { mergeReported } from './merge-reported.js'
import type { MergedAccount } from './merged-account.js'
import { readAll } from './read-all.js'
import { formatDay } from './format-day.js'

const DAY = 86_400_000

interface ReadOptions { readonly caller?: string, readonly since?: string, readonly until?: string }

/** Adds up the account of the fleet: days, parts, and the unflushed counts of running daemons. */
@scoped(Lifecycle.ContainerScoped)
export class AccountReader {
  constructor (
    @inject(Account) private readonly account: Account,
    @inject(AccountQueries) private readonly queries: AccountQueries,
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /**
   * Reads the account. Daemons are queried before parts are read, so that a part which ends in between is read complete. Parts
   * are read before days, so that a part which is folded in between is in both, and is counted once.
   */
  async read ({ caller, since, until }: ReadOptions): Promise<MergedAccount & { readonly silent: readonly string[] }> {
    const answered = this.mayHaveUnflushed(until) ? await this.queries.askAll() : { parts: {}, unresponsive: [] }
    const read = await readAll<AccountPart>(this.store, 'account')
    const days = await this.readDays(since, until)
    if (read.err || days === undefined) {
      return { ...this.readOwn(since, until), mayMiss: { asked: 0, runs: [] }, whole: false, silent: answered.unresponsive }
    }
    const { parts, completeParts } = mergeReported(Object.fromEntries(read.val.map(({ name, value }) => [name, value])), days, answered.parts)
    return { ...mergeAccount({ parts, days, completeParts, since, until, caller }), silent: answered.unresponsive }
  }

  /** Unflushed counts are of today or, shortly after midnight, of yesterday. */
  private mayHaveUnflushed (until: string | undefined): boolean {
    return until === undefined || until >= formatDay(this.clock.date() - DAY)
  }

  /**
   * Returns the counts of this daemon since its start. They are included for today only: a report by days would otherwise
   * repeat them for each day.
   */
  private readOwn (since = '', until = '9'): Pick<MergedAccount, 'rows' | 'times'> {
    const today = formatDay(this.clock.date())
    return since <= today && today <= until ? { rows: this.account.read(), times: this.account.readTimes() } : { rows: {}, times: {} }
  }

  private async readDays (since: string | undefined, until: string | undefined): Promise<readonly AccountDay[] | undefined> {
    const prefixes = since === undefined ? [''] : listDays(since, until ?? formatDay(this.clock.date() + DAY)).map(day => `${day}.`)
    const days: AccountDay[] = []
    for (const prefix of prefixes) {
      const read = await readAll<AccountDay>(this.store, 'account-day', prefix)
      if (read.err) return undefined
      days.push(...read.val.map(({ value }) => value))
    }
    return days
  }
}

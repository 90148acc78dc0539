import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Route } from '../entry/route.js'
import { routePoint } from '../entry/route-point.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../platform/object-store.js'
import type { AccountDay } from './account-day.js'
import { AccountFlush } from './account-flush.js'
import type { AccountPart } from './account-part.js'
import { Account } from './account.js'
import { mergeAccount } from './merge-account.js'
import type { MergedAccount } from './merged-account.js'
import { readAll } from './read-all.js'

/** Shows operators the account of the fleet: GET /operator/account, with `caller` and `since` (YYYY-MM-DD). */
@scoped(Lifecycle.ContainerScoped)
export class AccountRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/account', access: 'operator', handle: async (req, res) => await this.show(req, res) }
  ] satisfies Route[]).map(route => routePoint.of(route))

  constructor (
    @inject(Account) private readonly account: Account,
    @inject(AccountFlush) private readonly flush: AccountFlush,
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  private async show (req: Request, res: Response): Promise<void> {
    const { caller, since } = req.query as Record<string, string | undefined>
    sendJson(res, 200, { instance: this.settings.instance, ...await this.merge(caller, since) })
  }

  /** Parts are read before days: one that is folded in between is then in both, and counted once. */
  private async merge (caller?: string, since?: string): Promise<MergedAccount> {
    const fresh = await this.flush.flushNow()
    const parts = await readAll<AccountPart>(this.store, 'account')
    const days = await readAll<AccountDay>(this.store, 'account-day')
    if (parts.err || days.err) {
      const own = { instance: this.settings.instance, started: 0, flushedAt: Date.now(), closed: true, highestRate: 0, longestGap: 0, rows: this.account.read() }
      return { ...mergeAccount({ parts: { own }, days: [], caller }), whole: false }
    }
    return mergeAccount({
      parts: Object.fromEntries(parts.val.map(({ name, value }) => [name, value])),
      days: days.val.map(({ value }) => value),
      fresh,
      since,
      caller
    })
  }
}

partRegistry.register({ name: 'account routes', part: AccountRoutes, needs: ['account flush'] })

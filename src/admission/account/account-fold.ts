import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import type { ObjectStore } from '../../store/object-store.js'
import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'
import { mergePart } from './merge-part.js'
import { readAll } from './read-all.js'

/** Period of the folds, ms. */
const PERIOD = 300_000

/**
 * Folds the parts of ended runs into the totals of their days, so that objects don't accumulate with each restart. Rendezvous
 * hashing chooses one daemon for this; if two run at once, each part is still added once.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountFold implements Part {
  private cancel = (): void => {}

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(PERIOD, () => { void this.fold() })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private async fold (): Promise<void> {
    if (rankOwners('account fold', this.members.owners())[0] !== this.settings.instance) return
    const parts = (await readAll<AccountPart>(this.store, 'account')).unwrapOr([])
    for (const part of parts) {
      const { closed, flushedAt } = part.value
      const { foldOpenAfter, foldClosedAfter } = accountLimits
      if (this.clock.date() - flushedAt > (closed ? foldClosedAfter : foldOpenAfter)) await mergePart(this.store, part)
    }
  }
}

partRegistry.register({ name: 'account fold', part: AccountFold, needs: ['members'] })

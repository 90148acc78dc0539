import type { Settings } from '../kernel/settings.js'
import type { Members } from '../peers/members.js'
import { listAllWatchers } from './list-all-watchers.js'
import { listWatchers } from './list-watchers.js'
import type { ReaderRole } from './reader-role.js'
import type { WatcherContact } from './watcher-contact.js'

interface WatcherRanksOptions {
  readonly settings: Pick<Settings, 'instance' | 'failureDomain'>
  readonly members: Pick<Members, 'all'>
  readonly contact: Pick<WatcherContact, 'isLate' | 'isUnresponsive'>
}

/** Which part this daemon has in reading the store, by the members and by what it receives from the watchers. */
export class WatcherRanks {
  /** Whether this daemon is one of its failure domain's watchers. */
  isWatcher = false
  /** The watchers of all failure domains by rank, while this daemon is one of them. */
  all: readonly string[] = []

  constructor (private readonly options: WatcherRanksOptions) {}

  /** Ranks the watchers anew, as members come and go. */
  update (): void {
    const { settings, settings: { instance, failureDomain } } = this.options
    const members = this.options.members.all()
    this.isWatcher = listWatchers(members, failureDomain, instance).includes(instance)
    this.all = this.isWatcher ? listAllWatchers(members, settings) : []
  }

  /** Returns this daemon's role for a kind at `now`, monotonic ms. */
  findRole (kind: string, now: number): ReaderRole {
    const { contact, settings } = this.options
    if (this.isWatcher) return { type: 'watcher', rank: this.all.indexOf(settings.instance) }
    if (contact.isLate(now)) return { type: 'alone' }
    return contact.isUnresponsive(kind, now) ? { type: 'substitute' } : { type: 'follower' }
  }
}

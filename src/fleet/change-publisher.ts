import type { Settings } from '../kernel/settings.js'
import { isSmallFleet } from '../peers/is-small-fleet.js'
import type { Members } from '../peers/members.js'
import type { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { buildChangeBatch } from './build-change-batch.js'
import { encodeHeartbeat } from './encode-heartbeat.js'
import { listRecipients } from './list-recipients.js'
import type { ChangeNotice } from './change-notice.js'
import { planHeartbeat } from './plan-heartbeat.js'

interface ChangePublisherOptions {
  readonly settings: Pick<Settings, 'instance' | 'failureDomain'>
  readonly members: Pick<Members, 'all'>
  readonly links: Pick<PeerLinks, 'send'>
  /** What this daemon knows, by kind. */
  readonly mirrors: ReadonlyMap<string, StoreMirror<any>>
}

/**
 * Tells other daemons what changed. A message may be lost, so that each says from which revision on it tells everything, and
 * heartbeats say up to which: a daemon that has lost one finds the gap and asks for what it lacks.
 */
export class ChangePublisher {
  /** By kind, the revision up to which everything is told. */
  private readonly published = new Map<string, number>()

  constructor (private readonly options: ChangePublisherOptions) {}

  /** Tells what the store said. In a larger fleet a failure domain's watchers tell their own domain, and the watchers of the others. */
  publish (notice: ChangeNotice): void {
    this.send(listRecipients(this.options.members.all(), this.options.settings.failureDomain), notice)
  }

  /**
   * The store may turn away all watchers of a failure domain at once, whose daemons, though it serves them, rely on those: they
   * went by an old configuration for 6 s. What a watcher hears from another domain it tells its own.
   */
  relay (notice: ChangeNotice, received: WatchBatch<unknown>, from: string): void {
    const domainMembers = this.listDomainMembers()
    if (isSmallFleet(this.options.members.all()) || domainMembers.includes(from)) return
    if (this.getMirror(notice.kind).complete >= received.revision) this.send(domainMembers, notice)
    else this.sendAll(domainMembers, { type: 'fleet news', kind: notice.kind, batch: { ...received, after: undefined }, sure: notice.sure, hold: notice.hold })
  }

  /** Sends a heartbeat, with the age of the store's last answer by kind; gives back when the next one is due, ms. */
  sendHeartbeat (ages: ReadonlyMap<string, number>): number {
    const names = listRecipients(this.options.members.all(), this.options.settings.failureDomain)
    const next = planHeartbeat(names.length)
    const kinds = new Map([...this.published].map(([kind, published]) => [kind, { published, age: ages.get(kind) ?? Infinity }]))
    this.sendAll(names, encodeHeartbeat({ next, kinds }))
    return next
  }

  /** Tells a daemon what it lacks; all there is where it doesn't say what it has. */
  sendMissing ({ have }: PeerMessage, from: string): void {
    for (const [kind, mirror] of this.options.mirrors) {
      const revision = Number((have as Readonly<Record<string, unknown>> | undefined)?.[kind] ?? -1)
      this.options.links.send(from, { type: 'fleet news', kind, batch: mirror.copySince(kind, revision) })
    }
  }

  /** Asks a daemon for what this one lacks. */
  requestMissing (name: string): void {
    const have = Object.fromEntries([...this.options.mirrors].map(([kind, { complete }]) => [kind, complete]))
    this.options.links.send(name, { type: 'fleet ask', have })
  }

  /** Tells all that changed since what was told before; what isn't new here is only named, as others have told it. */
  private send (recipients: readonly string[], { kind, names, sure, hold }: ChangeNotice): void {
    const mirror = this.getMirror(kind)
    const copy = mirror.copySince(kind, this.published.get(kind) ?? -1)
    if (names.length + copy.changed.length + copy.deleted.length > 0) this.sendAll(recipients, { type: 'fleet news', kind, batch: buildChangeBatch(copy, names), sure, hold })
    else if (copy.whole !== true) return
    this.published.set(kind, mirror.complete)
  }

  private sendAll (names: readonly string[], message: PeerMessage): void {
    for (const name of names) if (name !== this.options.settings.instance) this.options.links.send(name, message)
  }

  private listDomainMembers (): readonly string[] {
    return this.options.members.all().filter(({ instance }) => instance.failureDomain === this.options.settings.failureDomain).map(({ instance }) => instance.name)
  }

  private getMirror (kind: string): StoreMirror<any> {
    return this.options.mirrors.get(kind)!
  }
}

import type { Settings } from '../kernel/settings.js'
import { isSmallFleet } from '../peers/is-small-fleet.js'
import type { Members } from '../peers/members.js'
import type { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { buildChangeBatch } from './build-change-batch.js'
import type { ChangeNotice } from './change-notice.js'
import { encodeHeartbeat } from './encode-heartbeat.js'
import { listRecipients } from './list-recipients.js'
import type { ObjectPacker } from './object-packer.js'
import { planHeartbeat } from './plan-heartbeat.js'

/** First protocol version whose daemons accept packed objects. */
const PACKED_OBJECTS_VERSION = 4
/** The kind whose objects are large. */
const PACKED_KIND = 'configuration'

interface ChangePublisherOptions {
  readonly settings: Pick<Settings, 'instance' | 'failureDomain'>
  readonly members: Pick<Members, 'all'>
  readonly links: Pick<PeerLinks, 'send' | 'findSession'>
  readonly packer: Pick<ObjectPacker, 'pack'>
  /** This daemon's copies of the stored objects, by kind. */
  readonly mirrors: ReadonlyMap<string, StoreMirror<any>>
}

/**
 * Publishes changes of stored objects to other daemons. Messages may be lost: each one states the revision after which it covers every
 * change, and heartbeats state the last published revision, so that a daemon detects a gap and requests the missing changes.
 */
export class ChangePublisher {
  /** The revision up to which every change is published, by kind. */
  private readonly published = new Map<string, number>()

  constructor (private readonly options: ChangePublisherOptions) {}

  /** Publishes changes that the store returned. In a large fleet, a domain's watchers notify their own domain and the watchers of the others. */
  publish (notice: ChangeNotice): void {
    this.send(listRecipients(this.options.members.all(), this.options.settings.failureDomain), notice)
  }

  /**
   * Relays changes that another failure domain published to the daemons of this domain. If the store rejects all watchers of a domain
   * at once, its daemons still rely on these and would otherwise use outdated state for some 6 s until they notice.
   */
  relay (notice: ChangeNotice, received: WatchBatch<unknown>, from: string): void {
    const domainMembers = this.listOwnDomain()
    if (isSmallFleet(this.options.members.all()) || domainMembers.includes(from)) return
    if (this.getMirror(notice.kind).completeRevision >= received.revision) this.send(domainMembers, notice)
    else this.sendBatch(domainMembers, notice, { ...received, after: undefined })
  }

  /**
   * Sends a heartbeat with the age of the store's last answer by kind, ms: to the watchers that of the last answer to this daemon, to the
   * others that of the last one to any. An age that watchers relayed to one another would never grow old while messages are late.
   * Returns the time until the next heartbeat, ms.
   */
  sendHeartbeat ({ watchers, own, known }: { readonly watchers: readonly string[], readonly own: ReadonlyMap<string, number>, readonly known: ReadonlyMap<string, number> }): number {
    const names = listRecipients(this.options.members.all(), this.options.settings.failureDomain)
    this.sendHeartbeatTo(names.filter(name => watchers.includes(name)), own)
    this.sendHeartbeatTo(names.filter(name => !watchers.includes(name)), known)
    return planHeartbeat(names.length)
  }

  /** Sends some daemons a heartbeat between two regular ones. */
  sendHeartbeatTo (names: readonly string[], ages: ReadonlyMap<string, number>): void {
    const next = planHeartbeat(listRecipients(this.options.members.all(), this.options.settings.failureDomain).length)
    const kinds = new Map([...this.published].map(([kind, published]) => [kind, { published, age: ages.get(kind) ?? Infinity }]))
    this.sendAll(names, encodeHeartbeat({ next, kinds }))
  }

  /** Sends a daemon the changes since the revisions that it has; everything if it doesn't state them. */
  sendMissing ({ have }: PeerMessage, from: string): void {
    for (const [kind, mirror] of this.options.mirrors) {
      const revision = Number((have as Readonly<Record<string, unknown>> | undefined)?.[kind] ?? -1)
      this.sendBatch([from], { kind, names: [] }, mirror.copySince(kind, revision))
    }
  }

  /** Requests from a daemon the changes that this one is missing. */
  requestMissing (name: string): void {
    const have = Object.fromEntries([...this.options.mirrors].map(([kind, { completeRevision }]) => [kind, completeRevision]))
    this.options.links.send(name, { type: 'fleet ask', have })
  }

  /**
   * Sends every change since the last published revision, in full only for the objects of `names`; others have published the rest. The
   * first notice about a kind has the revision only: other daemons read the store as they start, or request what they are missing.
   */
  private send (recipients: readonly string[], notice: ChangeNotice): void {
    const { kind, names } = notice
    const mirror = this.getMirror(kind)
    const { completeRevision: revision } = mirror
    const published = this.published.get(kind)
    const copy = published === undefined ? undefined : mirror.copySince(kind, published)
    if (copy === undefined) this.sendBatch(recipients, notice, { revision, after: revision, changed: [], deleted: [] })
    else if (names.length + copy.changed.length + copy.deleted.length > 0) this.sendBatch(recipients, notice, buildChangeBatch(copy, names))
    else if (copy.whole !== true) return
    this.published.set(kind, revision)
  }

  private sendBatch (recipients: readonly string[], { kind, sure, hold }: ChangeNotice, batch: WatchBatch<unknown>): void {
    const plain: PeerMessage = { type: 'fleet news', kind, batch, sure, hold }
    const isPacked = (name: string): boolean => kind === PACKED_KIND && (this.options.links.findSession(name)?.agreedVersion ?? 0) >= PACKED_OBJECTS_VERSION
    const packed = recipients.some(isPacked) ? { ...plain, batch: { ...batch, changed: batch.changed.map(object => this.options.packer.pack(object)) } } : plain
    this.sendAll(recipients.filter(isPacked), packed)
    this.sendAll(recipients.filter(name => !isPacked(name)), plain)
  }

  private sendAll (names: readonly string[], message: PeerMessage): void {
    for (const name of names) if (name !== this.options.settings.instance) this.options.links.send(name, message)
  }

  private listOwnDomain (): readonly string[] {
    return this.options.members.all().filter(({ instance }) => instance.failureDomain === this.options.settings.failureDomain).map(({ instance }) => instance.name)
  }

  private getMirror (kind: string): StoreMirror<any> {
    return this.options.mirrors.get(kind)!
  }
}

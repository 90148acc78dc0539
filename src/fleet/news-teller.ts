import type { Settings } from '../kernel/settings.js'
import { isSmallFleet } from '../peers/is-small-fleet.js'
import type { Members } from '../peers/members.js'
import type { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { buildNews } from './build-news.js'
import { encodeHeartbeat } from './encode-heartbeat.js'
import { listTold } from './list-told.js'
import type { News } from './news.js'
import { planHeartbeat } from './plan-heartbeat.js'

interface NewsTellerOptions {
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
export class NewsTeller {
  /** By kind, the revision up to which everything is told. */
  private readonly told = new Map<string, number>()

  constructor (private readonly options: NewsTellerOptions) {}

  /** Tells what the store said. In a larger fleet a failure domain's watchers tell their own domain, and the watchers of the others. */
  tell (news: News): void {
    this.send(listTold(this.options.members.all(), this.options.settings.failureDomain), news)
  }

  /**
   * The store may turn away all watchers of a failure domain at once, whose daemons, though it serves them, rely on those: they
   * went by an old configuration for 6 s. What a watcher hears from another domain it tells its own.
   */
  passOn (news: News, heard: WatchBatch<unknown>, from: string): void {
    const near = this.listDomain()
    if (isSmallFleet(this.options.members.all()) || near.includes(from)) return
    if (this.getMirror(news.kind).complete >= heard.revision) this.send(near, news)
    else this.sendAll(near, { type: 'fleet news', kind: news.kind, batch: { ...heard, after: undefined }, sure: news.sure, hold: news.hold })
  }

  /** Sends a heartbeat, with the age of the store's last answer by kind; gives back when the next one is due, ms. */
  sendHeartbeat (ages: ReadonlyMap<string, number>): number {
    const names = listTold(this.options.members.all(), this.options.settings.failureDomain)
    const next = planHeartbeat(names.length)
    const kinds = new Map([...this.told].map(([kind, told]) => [kind, { told, age: ages.get(kind) ?? Infinity }]))
    this.sendAll(names, encodeHeartbeat({ next, kinds }))
    return next
  }

  /** Tells a daemon what it lacks; all there is where it doesn't say what it has. */
  answer ({ have }: PeerMessage, from: string): void {
    for (const [kind, mirror] of this.options.mirrors) {
      const revision = Number((have as Readonly<Record<string, unknown>> | undefined)?.[kind] ?? -1)
      this.options.links.send(from, { type: 'fleet news', kind, batch: mirror.copySince(kind, revision) })
    }
  }

  /** Asks a daemon for what this one lacks. */
  ask (name: string): void {
    const have = Object.fromEntries([...this.options.mirrors].map(([kind, { complete }]) => [kind, complete]))
    this.options.links.send(name, { type: 'fleet ask', have })
  }

  /** Tells all that changed since what was told before; what isn't new here is only named, as others have told it. */
  private send (to: readonly string[], { kind, names, sure, hold }: News): void {
    const mirror = this.getMirror(kind)
    const copy = mirror.copySince(kind, this.told.get(kind) ?? -1)
    if (names.length + copy.changed.length + copy.deleted.length > 0) this.sendAll(to, { type: 'fleet news', kind, batch: buildNews(copy, names), sure, hold })
    else if (copy.whole !== true) return
    this.told.set(kind, mirror.complete)
  }

  private sendAll (names: readonly string[], message: PeerMessage): void {
    for (const name of names) if (name !== this.options.settings.instance) this.options.links.send(name, message)
  }

  private listDomain (): readonly string[] {
    return this.options.members.all().filter(({ instance }) => instance.failureDomain === this.options.settings.failureDomain).map(({ instance }) => instance.name)
  }

  private getMirror (kind: string): StoreMirror<any> {
    return this.options.mirrors.get(kind)!
  }
}

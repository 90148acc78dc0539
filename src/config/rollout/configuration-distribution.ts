import { inject, Lifecycle, scoped } from 'tsyringe'
import { createVersionState } from '../../coordination/versions/create-version-state.js'
import { rankOwners } from '../../coordination/rank-owners.js'
import { stepVersion } from '../../coordination/versions/step-version.js'
import type { VersionEffect } from '../../coordination/versions/version-effect.js'
import type { VersionEvent } from '../../coordination/versions/version-event.js'
import type { VersionHead } from '../../coordination/versions/version-head.js'
import type { VersionMessage } from '../../coordination/versions/version-message.js'
import type { VersionState } from '../../coordination/versions/version-state.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { pauseFor } from '../../kernel/pause-for.js'
import { PauseWatch } from '../../kernel/pause-watch.js'
import type { Random } from '../../kernel/random.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { listOthers } from '../../peers/list-others.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { StoredObject } from '../../store/stored-object.js'
import { ConfigurationLoader } from '../configuration-loader.js'
import { ConfigurationObjects } from '../configuration-objects.js'
import { hashContent } from '../hash-content.js'
import type { Manifest } from './manifest.js'
import type { Pack } from './pack.js'

const MESSAGE_TYPE = 'configuration'
/** Types of version messages that this release handles; others are ignored. */
const KNOWN_VERSION_MESSAGES = ['digest', 'ask head', 'head', 'ask parts', 'parts']
// Times in ms.
const TICK_PERIOD = 250
const WATCHER_CHECK_PERIOD = 1_000
const PEERS_PER_TICK = 2
const GOSSIP_FANOUT = 4
const WATCHERS_PER_DOMAIN = 2
/** A watch that was sent in an outage stays unanswered after it, so that its end, a retry and a read must fit into the 3 s of a change. */
const WATCH_TIMEOUT = 1_250 // ms
const REREAD_PERIOD = 30_000 // ms
const RETRY_DELAY = 250 // ms
const MAX_START_WAIT = 500 // ms
const PARALLEL_READS = 8

const versionOptions = {
  hash: ({ files }: Pack) => hashContent(files),
  size: ({ files }: Pack) => files.reduce((sum, [, text]) => sum + Buffer.byteLength(text), 0)
}

/**
 * Receives accepted versions and forwards them to other daemons. Two daemons of each failure domain watch the platform.
 * Each daemon announces its version to four random peers when it changes, and to two every second, so that a lost
 * message, an unresponsive watch or a stale read costs about a second.
 */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationDistribution implements Part {
  readonly extensions = [peerHandlerPoint.of({
    type: MESSAGE_TYPE,
    handle: ({ body }, from) => this.handleMessage(body as VersionMessage<Pack>, from)
  })]

  private state: VersionState<Pack> = createVersionState()
  private running = true
  private stopTicks = (): void => {}
  private resolveStarted = (): void => {}
  private readonly started = new Promise<void>(resolve => { this.resolveStarted = resolve })

  constructor (
    @inject(ConfigurationObjects) private readonly objects: ConfigurationObjects,
    @inject(ConfigurationLoader) private readonly loader: ConfigurationLoader,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** Header of the newest version that this daemon holds in full, if any. */
  get head (): VersionHead | undefined {
    return this.state.head
  }

  findPack (hash: string): Pack | undefined {
    return this.state.parts.get(hash)
  }

  /** Texts of the files of that version, by name. */
  listFiles (): ReadonlyMap<string, string> {
    return new Map((this.head?.parts ?? []).flatMap(hash => this.findPack(hash)!.files))
  }

  /** Applies a version that was accepted through this daemon, with its packs. */
  applyAccepted (manifest: Pick<StoredObject<Manifest>, 'version' | 'value'>, packs: readonly Pack[]): void {
    this.step({ type: 'read head', head: readHead(manifest), parts: packs })
  }

  /**
   * Starts the gossip ticks and the watch. No version is activated during the first half second, so that a newer one
   * from a peer supersedes a stale read of the platform.
   */
  async start (): Promise<void> {
    this.clock.after(MAX_START_WAIT, this.resolveStarted)
    this.stopTicks = this.clock.every(TICK_PERIOD, () => this.runTick())
    this.pauses.subscribe(() => this.runTick())
    this.runTick()
    void this.watch()
  }

  async stop (): Promise<void> {
    this.running = false
    this.stopTicks()
  }

  private runTick (): void {
    this.step({ type: 'tick', peers: this.choosePeers(PEERS_PER_TICK) })
  }

  private choosePeers (count: number): readonly string[] {
    const others = [...listOthers(this.members.all(), this.settings.instance)]
    const chosen: string[] = []
    while (chosen.length < count && others.length > 0) chosen.push(...others.splice(this.random.below(others.length), 1))
    return chosen
  }

  /** Ignores message types that a newer release may have added. */
  private handleMessage (message: VersionMessage<Pack>, from: string): void {
    if (KNOWN_VERSION_MESSAGES.includes(message?.type)) this.step({ type: 'message', from, message })
  }

  private step (event: VersionEvent<Pack>): void {
    const { state, effects } = stepVersion(this.state, event, this.clock.now(), versionOptions)
    this.state = state
    for (const effect of effects) this.runEffect(effect)
  }

  private runEffect (effect: VersionEffect<Pack>): void {
    switch (effect.type) {
      case 'send': this.send(effect.to, effect.message); break
      case 'spread': for (const peer of this.choosePeers(GOSSIP_FANOUT)) this.send(peer, effect.message); break
      case 'read parts': void this.readPacks(effect.hashes); break
      case 'act': void this.applyVersion(effect.head, effect.parts)
    }
  }

  private send (to: string, message: VersionMessage<Pack>): void {
    this.links.send(to, { type: MESSAGE_TYPE, body: message }, message.type === 'digest' ? MESSAGE_TYPE : undefined)
  }

  /** Reports all packs that were read in one step: a step for each pack would request the missing ones again each time. */
  private async readPacks (hashes: readonly string[]): Promise<void> {
    const parts: Pack[] = []
    const queue = [...hashes]
    const read = async (): Promise<void> => {
      for (let hash = queue.shift(); hash !== undefined; hash = queue.shift()) {
        const pack = await this.objects.readPack(hash, 'operator')
        if (pack.ok) parts.push(pack.val)
      }
    }
    await Promise.all(Array.from({ length: PARALLEL_READS }, read))
    this.step({ type: 'read parts', parts })
  }

  private async applyVersion (head: VersionHead, packs: readonly Pack[]): Promise<void> {
    await this.started
    if (head.version === this.head?.version) await this.loader.load(head.version, packs.flatMap(({ files }) => files))
  }

  /** Watches the platform while this daemon is a watcher of its failure domain or has no version yet. */
  private async watch (): Promise<void> {
    let revision = -1
    let nextReread = 0
    while (this.running) {
      if (this.head !== undefined && !this.isWatcher()) {
        revision = -1
        await this.pause(WATCHER_CHECK_PERIOD)
        continue
      }
      if (this.clock.now() >= nextReread) revision = -1
      if (revision < 0) nextReread = this.clock.now() + REREAD_PERIOD
      revision = await this.watchOnce(revision)
      if (revision < 0) await this.pause(this.random.spread(RETRY_DELAY))
    }
  }

  /** Returns the revision to continue from; -1, which reads again, if the watch failed. */
  private async watchOnce (revision: number): Promise<number> {
    const batch = await this.objects.watchManifest(revision, WATCH_TIMEOUT)
    if (batch.err) return -1
    if (batch.val.manifest?.value.format === 1) this.step({ type: 'read head', head: readHead(batch.val.manifest) })
    return batch.val.revision
  }

  private isWatcher (): boolean {
    const domainMembers = this.members.all().filter(({ instance }) => instance.failureDomain === this.settings.failureDomain).map(({ instance }) => instance.name)
    return rankOwners(`${MESSAGE_TYPE} ${this.settings.failureDomain}`, [...new Set([...domainMembers, this.settings.instance])]).slice(0, WATCHERS_PER_DOMAIN).includes(this.settings.instance)
  }

  private async pause (time: number): Promise<void> {
    await pauseFor(this.clock, time)
  }
}

function readHead ({ version, value }: Pick<StoredObject<Manifest>, 'version' | 'value'>): VersionHead {
  return { version, parts: value.packs, body: value }
}

partRegistry.register({ name: 'configuration', part: ConfigurationDistribution, needs: ['peer links', 'members', 'pause watch'] })

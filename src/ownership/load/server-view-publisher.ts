import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { InstanceList } from '../../store/instance-list.js'
import type { ServerView } from '../../routing/servers/server-view.js'
import { ServerViews } from '../../routing/servers/server-views.js'
import { BatchRunner } from '../batch/batch-runner.js'
import { OnlineLoad } from './online-load.js'
import { planViewPeriod } from './plan-view-period.js'
import { ServedModels } from '../served-models.js'
import { ServerOwners } from '../server-owners.js'
import { ServerWatch } from '../server-watch.js'

const CHECK_PERIOD = 100 // ms
/** Number of periods without an update after which a view is dropped, since its owner may be gone. */
const MISSED_PERIODS = 4
const MESSAGE_TYPE = 'views'

/** Publishes views of this daemon's servers to all daemons of the region. */
@scoped(Lifecycle.ContainerScoped)
export class ServerViewPublisher implements Part {
  readonly extensions = [peerHandlerPoint.of({ type: MESSAGE_TYPE, handle: message => this.receive(message) })]
  private readonly published = new Map<string, { readonly view: ServerView, readonly at: number }>()
  private readonly receivedAt = new Map<string, number>()
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(ServerWatch) private readonly watch: ServerWatch,
    @inject(OnlineLoad) private readonly online: OnlineLoad,
    @inject(BatchRunner) private readonly batch: BatchRunner,
    @inject(ServedModels) private readonly models: ServedModels,
    @inject(ServerViews) private readonly views: ServerViews,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.publishDue())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private publishDue (): void {
    const period = planViewPeriod(this.list.all.length)
    const now = this.clock.now()
    for (const [server, at] of this.receivedAt) if (now > at + MISSED_PERIODS * period) this.drop(server)
    const owned = this.owners.listOwned()
    for (const server of this.published.keys()) if (!owned.includes(server)) this.published.delete(server)
    const due = owned.map(server => this.buildView(server)).filter(view => this.isDue(view, now, period))
    if (due.length === 0) return
    for (const view of due) {
      this.published.set(view.server, { view, at: now })
      this.apply(view)
    }
    for (const { instance } of this.members.all()) {
      if (instance.name !== this.settings.instance && instance.region === this.settings.region) this.links.send(instance.name, { type: MESSAGE_TYPE, views: due })
    }
  }

  /**
   * Builds the view of a server. Without a claim yet, it uses the last known fencing number, so that soft state isn't
   * delayed.
   */
  private buildView (server: string): ServerView {
    return {
      server,
      state: this.watch.getState(server),
      online: this.online.count(server),
      batch: this.batch.count(server),
      limit: this.models.findLimit(server) ?? Number.MAX_SAFE_INTEGER,
      fencing: this.owners.getFencing(server) || (this.views.get(server)?.fencing ?? 0)
    }
  }

  /** A view is due immediately when its state or limit changes, and otherwise once a period. */
  private isDue (view: ServerView, now: number, period: number): boolean {
    const lastPublished = this.published.get(view.server)
    return lastPublished === undefined || lastPublished.view.state !== view.state || lastPublished.view.limit !== view.limit || now >= lastPublished.at + period
  }

  private receive ({ views }: PeerMessage): void {
    if (!Array.isArray(views)) return
    for (const view of views as readonly ServerView[]) if (typeof view?.server === 'string' && typeof view.fencing === 'number') this.apply(view)
  }

  private apply (view: ServerView): void {
    this.views.update(view)
    if (this.views.get(view.server) === view) this.receivedAt.set(view.server, this.clock.now())
  }

  private drop (server: string): void {
    this.receivedAt.delete(server)
    this.views.remove(server)
  }
}

partRegistry.register({ name: 'server view spread', part: ServerViewPublisher, needs: ['server owners', 'server watch', 'online load', 'batch runner', 'peer links', 'members'] })

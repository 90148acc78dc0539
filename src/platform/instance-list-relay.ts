import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import { InstanceList } from './instance-list.js'

const QUESTION = 'instance list ask'
const ANSWER = 'instance list'
const ASK_PERIOD = 500

/**
 * Gives a daemon that starts while the platform is out the instance list of another one. Without it such a daemon has
 * its configuration from its peers and refuses every request, because it knows no backend server; what a peer last
 * read is as good as what that peer itself goes on with.
 */
@scoped(Lifecycle.ContainerScoped)
export class InstanceListRelay implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: QUESTION, handle: (_message, from) => { if (this.list.hasRead) this.links.send(from, { type: ANSWER, instances: this.list.all }) } }),
    peerHandlerPoint.of({ type: ANSWER, handle: ({ instances }) => { if (Array.isArray(instances)) this.list.offer(instances) } })
  ]

  private cancel = (): void => {}

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(ASK_PERIOD, () => this.ask())
    this.ask()
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private ask (): void {
    const others = this.members.all().filter(({ instance }) => instance.name !== this.settings.instance)
    if (this.list.hasRead || others.length === 0) return
    this.links.send(others[this.random.below(others.length)]!.instance.name, { type: QUESTION }, QUESTION)
  }
}

partRegistry.register({ name: 'instance list relay', part: InstanceListRelay, needs: ['instance list', 'members', 'peer links'] })

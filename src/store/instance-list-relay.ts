import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { listDomainMembers } from '../peers/list-domain-members.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { InstanceList } from './instance-list.js'

const REQUEST = 'instance list ask'
const ANSWER = 'instance list'
/** Daemons of each failure domain that read the list from the platform. */
const READERS_PER_DOMAIN = 2
/** Intervals between requests, ms: until a list has been received, and after that. */
const INITIAL_PERIOD = 500
const PERIOD = 2_000

/**
 * Distributes the platform's instance list to daemons that don't read it themselves: each sends the digest of its list to
 * a reader of its failure domain, which returns its own list if that differs.
 *
 * A daemon without a list asks any other daemon, so that one that starts while the platform is unavailable has backend
 * servers to send requests to.
 */
@scoped(Lifecycle.ContainerScoped)
export class InstanceListRelay implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: REQUEST, handle: (message, from) => this.answer(message, from) }),
    peerHandlerPoint.of({ type: ANSWER, handle: message => this.receiveAnswer(message) })
  ]

  private cancel = (): void => {}
  private nextRequestAt = 0

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(INITIAL_PERIOD, () => this.request())
    this.request()
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private request (): void {
    const readers = this.listReaders()
    this.list.isReader = readers.includes(this.settings.instance)
    if (this.list.known && (this.list.isReader || this.clock.now() < this.nextRequestAt)) return
    const asked = this.list.known ? readers : this.listMemberNames()
    const others = asked.filter(name => name !== this.settings.instance)
    if (others.length === 0) return
    this.nextRequestAt = this.clock.now() + PERIOD
    this.links.send(others[this.random.below(others.length)]!, { type: REQUEST, digest: this.list.digest }, REQUEST)
  }

  /** The readers of this daemon's failure domain; the daemon itself where it sees no other member there. */
  private listReaders (): readonly string[] {
    const { instance: name, failureDomain } = this.settings
    return rankOwners('instance list', listDomainMembers(this.members.all(), { name, failureDomain })).slice(0, READERS_PER_DOMAIN)
  }

  private listMemberNames (): readonly string[] {
    return this.members.all().map(({ instance }) => instance.name)
  }

  private answer ({ digest }: PeerMessage, from: string): void {
    if (!this.list.known) return
    const same = digest === this.list.digest
    this.links.send(from, same ? { type: ANSWER } : { type: ANSWER, instances: this.list.all }, ANSWER)
  }

  private receiveAnswer ({ instances }: PeerMessage): void {
    if (Array.isArray(instances)) this.list.offer(instances)
    else this.list.confirm()
  }
}

partRegistry.register({ name: 'instance list relay', part: InstanceListRelay, needs: ['instance list', 'members', 'peer links'] })

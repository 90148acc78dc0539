import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { MemberCalls } from '../peers/member-calls.js'
import { Members } from '../peers/members.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { PlatformClient } from './platform-client.js'

/** Peers that are asked for one call, at most. */
const MAX_PEERS = 3
/** Beyond the time that the peer's own call may take, for the way there and back, ms. */
const PEER_ROUND_TRIP = 50
/** The line of what goes by way of peers is written at most so often, ms. */
const LOG_PERIOD = 5_000

interface RelayedCall { readonly call: ApiCall, readonly timeout: number }

/**
 * Carries a caller's call to the store by way of another daemon, where the straight way doesn't answer. The store may turn some daemons away,
 * or be cut off from them, while it serves the others. Their callers' jobs were refused for as long as that lasted, at
 * each daemon that their callers were told of; by way of a peer they are accepted.
 *
 * A write keeps its id, so that sendings over several ways count as one: at most one takes effect, and a conflict with
 * one's own is known for what it is.
 */
@scoped(Lifecycle.ContainerScoped)
export class StoreRelay implements Part {
  readonly extensions
  private readonly calls: MemberCalls<RelayedCall, ApiAnswer>
  /** The peer that reached the store last. */
  private lastPeer: string | undefined
  private loggedAt = -Infinity

  constructor (
    @inject(tokens.storeClient) private readonly store: Pick<PlatformClient, 'useRelay' | 'useFleet' | 'sendDirect'>,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) links: Pick<PeerLinks, 'send'>
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'store', handle: async ({ call, timeout }) => await this.store.sendDirect(call, timeout) })
    this.extensions = this.calls.extensions
  }

  async start (): Promise<void> {
    this.store.useFleet(() => this.members.all().length)
    this.store.useRelay(async (call, timeout) => await this.send(call, timeout))
  }

  /** What a peer was answered; where a peer's call may have taken effect without an answer, that is said; undefined where no peer could ask. */
  private async send (call: ApiCall, timeout: number): Promise<ApiAnswer | undefined> {
    let uncertain: ApiAnswer | undefined
    const tried = new Set([this.settings.instance])
    for (let tries = 0; tries < MAX_PEERS; tries++) {
      const peer = this.choosePeer(tried)
      if (peer === undefined) break
      tried.add(peer)
      const answer = await this.calls.call(peer, { call, timeout }, timeout + PEER_ROUND_TRIP)
      if (answer?.type === 'answered') {
        this.recordRelay(peer, call)
        return answer
      }
      if (this.lastPeer === peer) this.lastPeer = undefined
      if (answer === undefined || answer.type === 'no answer') uncertain = { type: 'no answer', reason: `${peer} had no answer` }
    }
    return uncertain
  }

  private choosePeer (tried: ReadonlySet<string>): string | undefined {
    const candidates = this.members.all().filter(({ state, run, instance }) => state === 'alive' && run > 0 && !tried.has(instance.name)).map(({ instance }) => instance.name)
    return this.lastPeer !== undefined && candidates.includes(this.lastPeer) ? this.lastPeer : candidates[this.random.below(candidates.length)]
  }

  private recordRelay (peer: string, call: ApiCall): void {
    this.lastPeer = peer
    this.metrics.count('platform_calls_relayed_total', { call: call.type })
    const now = this.clock.now()
    if (now < this.loggedAt + LOG_PERIOD) return
    this.loggedAt = now
    this.log.write('info', 'store', 'reaches the store by way of a peer', { peer, call: call.type })
  }
}

partRegistry.register({ name: 'store relay', part: StoreRelay, needs: ['members', 'peer links'] })

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

/** Most peers tried for one call. */
const MAX_PEERS = 3
/** Added to the timeout of the peer's own call for the round trip to it, ms. */
const PEER_ROUND_TRIP = 50
/** Least interval between log lines on relayed calls, ms. */
const LOG_PERIOD = 5_000
const CONFLICT = 409

interface RelayedCall { readonly call: ApiCall, readonly timeout: number }

/**
 * Sends a caller's call to the store through another daemon where the store doesn't answer this one. The store may refuse
 * some daemons, or be partitioned from them, while it serves the others; their callers' jobs are still accepted.
 *
 * A write keeps its id over all paths, so that at most one attempt takes effect and a conflict with an earlier attempt of
 * the same write is recognized.
 */
@scoped(Lifecycle.ContainerScoped)
export class StoreRelay implements Part {
  readonly extensions
  private readonly calls: MemberCalls<RelayedCall, ApiAnswer>
  /** The last peer that reached the store, which is tried first. */
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

  /** Returns the store's answer to a peer; `no answer` where a peer's call may have taken effect that this answer doesn't tell of; undefined where no peer could send it. */
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
        // A conflict may be with the write of an earlier peer, so that its answer doesn't settle the call.
        return uncertain !== undefined && answer.status === CONFLICT ? uncertain : answer
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
    this.log.write('info', 'store', 'reaches the store through a peer', { peer, call: call.type })
  }
}

partRegistry.register({ name: 'store relay', part: StoreRelay, needs: ['members', 'peer links'] })

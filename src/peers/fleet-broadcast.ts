import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { findDomainLeader } from './find-domain-leader.js'
import { isSmallFleet } from './is-small-fleet.js'
import { listDomainLeaders } from './list-domain-leaders.js'
import { listOthers } from './list-others.js'
import { Members } from './members.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import { PeerLinks } from './peer-links.js'
import type { PeerMessage } from './peer-message.js'

const MESSAGE_TYPE = 'cast'

/**
 * Sends messages to all daemons. In a small fleet the sender sends them directly. In a larger one a message goes to the leader
 * of the sender's failure domain, from there to the other domain leaders, and from each leader to its domain, so that a daemon
 * needs links to a few others only. A broadcast may be lost when a leader fails; a receiver that depends on it needs another
 * source as well.
 */
@scoped(Lifecycle.ContainerScoped)
export class FleetBroadcast implements Part {
  readonly extensions = [peerHandlerPoint.of({ type: MESSAGE_TYPE, handle: ({ m, relayed }, from) => this.relay(m as PeerMessage, relayed === true, from) })]

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks
  ) {}

  /** Sends `message` to all other daemons. While it waits for a slow peer, a newer one with the same topic replaces it. */
  broadcast (message: PeerMessage, topic: string): void {
    const members = this.members.all()
    const { instance, failureDomain } = this.settings
    if (isSmallFleet(members)) return this.sendAll(listOthers(members, instance), message, topic)
    const leader = findDomainLeader(members, failureDomain)
    if (leader === instance) this.relay(message, false, instance)
    else if (leader !== undefined) this.links.send(leader, { type: MESSAGE_TYPE, m: message }, `${MESSAGE_TYPE} ${topic}`)
  }

  private relay (message: PeerMessage, relayed: boolean, from: string): void {
    if (typeof message?.type !== 'string') return
    const members = this.members.all()
    const { instance, failureDomain } = this.settings
    if (from !== instance) this.links.dispatch(message, from)
    if (!relayed) for (const leader of listDomainLeaders(members, failureDomain)) this.links.send(leader, { type: MESSAGE_TYPE, m: message, relayed: true })
    const domainMembers = members.filter(({ instance: other }) => other.failureDomain === failureDomain)
    this.sendAll(listOthers(domainMembers, instance).filter(name => name !== from), message)
  }

  private sendAll (names: readonly string[], message: PeerMessage, topic?: string): void {
    for (const name of names) this.links.send(name, message, topic)
  }
}

partRegistry.register({ name: 'fleet cast', part: FleetBroadcast, needs: ['members', 'peer links'] })

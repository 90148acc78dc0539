import { inject, Lifecycle, scoped } from 'tsyringe'
import { partRegistry } from '../kernel/part-registry.js'
import { InstanceList } from '../store/instance-list.js'

interface PeerAddress { readonly host: string, readonly port: number }

/**
 * Holds the addresses at which daemons accept links: as reported by the daemons, or else from the platform's list, which may be
 * outdated.
 */
@scoped(Lifecycle.ContainerScoped)
export class PeerAddresses {
  private readonly reported = new Map<string, PeerAddress>()

  constructor (@inject(InstanceList) private readonly list: InstanceList) {}

  find (instance: string): PeerAddress | undefined {
    const reported = this.reported.get(instance)
    if (reported !== undefined) return reported
    const listed = this.list.all.find(({ name }) => name === instance)
    return listed?.peerPort === undefined ? undefined : { host: listed.host, port: listed.peerPort }
  }

  update (instance: string, address: PeerAddress): void {
    this.reported.set(instance, address)
  }

  remove (instance: string): void {
    this.reported.delete(instance)
  }
}

partRegistry.register({ name: 'peer addresses', part: PeerAddresses, needs: ['instance list'] })

import type { Request } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { sendJson } from '../http/send-json.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { authenticate } from './authenticate.js'
import { chooseAddresses } from './choose-addresses.js'
import { routePoint } from './route-point.js'

/** Added to the lifetime of an address answer, ms: callers count from its arrival. */
const NETWORK_DELAY = 250

/** Serves the entry addresses that callers should use, with the time for which they may cache the answer. */
@scoped(Lifecycle.ContainerScoped)
export class Addresses implements Part {
  readonly extensions = [routePoint.of({
    method: 'get',
    path: '/v1/addresses',
    access: 'public',
    handle: (req, res) => {
      const addresses = chooseAddresses(this.members.all(), this.readCaller(req))
        .map(({ instance }) => ({ url: `http://${instance.host}:${instance.port}`, failureDomain: instance.failureDomain }))
      sendJson(res, 200, { addresses, keep: this.configuration.value.limits.addressKeep })
    }
  })]

  /** The longest cache time of any configuration so far, ms. */
  private longestKeep = 0

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.configuration.subscribe(({ limits }) => { this.longestKeep = Math.max(this.longestKeep, limits.addressKeep) })
  }

  /**
   * Removes this daemon from the answers of all daemons, then waits until every cached answer that may name it has expired. The daemon must
   * serve requests until then, since callers still use those answers.
   */
  async leave (): Promise<void> {
    await this.members.leave()
    if (this.longestKeep === 0) return
    await pauseFor(this.clock, this.longestKeep + NETWORK_DELAY)
  }

  private readCaller (req: Request): string {
    return authenticate(req, this.configuration.value) ?? req.socket.remoteAddress ?? ''
  }
}

partRegistry.register({ name: 'addresses', part: Addresses, needs: ['members'] })

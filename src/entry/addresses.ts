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

/** For the way of an answer to its caller, who keeps it from when it comes, ms. */
const NETWORK_DELAY = 250

/** Tells callers which entry addresses to use, and for how long they may keep the answer. */
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

  /** The longest time that any answer since this daemon was first ready may be kept, ms. */
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
   * Takes this daemon out of the answers of all, then waits until every kept answer that may name it has run out. It
   * has to go on serving until then: callers still come by those.
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

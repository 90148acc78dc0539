import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { Members } from '../peers/members.js'
import { routePoint } from './route-point.js'

/** Tells callers which entry addresses to use, and for how long they may keep the answer. */
@scoped(Lifecycle.ContainerScoped)
export class Addresses implements Part {
  readonly extensions = [routePoint.of({
    method: 'get',
    path: '/v1/addresses',
    access: 'public',
    handle: (_req, res) => {
      const addresses = this.members.all().filter(({ state, ready }) => state === 'alive' && ready)
        .map(({ instance }) => ({ url: `http://${instance.host}:${instance.port}`, failureDomain: instance.failureDomain }))
      sendJson(res, 200, { addresses, keep: this.configuration.value.limits.addressKeep })
    }
  })]

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder
  ) {}
}

partRegistry.register({ name: 'addresses', part: Addresses, needs: ['members'] })

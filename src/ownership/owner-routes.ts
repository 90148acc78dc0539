import { inject, Lifecycle, scoped } from 'tsyringe'
import type { HttpRoute } from '../entry/http-route.js'
import { routePoint } from '../entry/route-point.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { ServerOwners } from './server-owners.js'

/**
 * Shows operators which servers this daemon owns by its own view. Two daemons may list the same server until their
 * views agree.
 */
@scoped(Lifecycle.ContainerScoped)
export class OwnerRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/owned', access: 'operator', handle: (_req, res) => sendJson(res, 200, { owned: this.owners.listOwned() }) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (@inject(ServerOwners) private readonly owners: ServerOwners) {}
}

partRegistry.register({ name: 'owner routes', part: OwnerRoutes, needs: ['server owners'] })

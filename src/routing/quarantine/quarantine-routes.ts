import { inject, Lifecycle, scoped } from 'tsyringe'
import type { HttpRoute } from '../../entry/http-route.js'
import { routePoint } from '../../entry/route-point.js'
import { sendProblem } from '../../entry/send-problem.js'
import { sendJson } from '../../http/send-json.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { Quarantine } from './quarantine.js'

/** Operator routes that list suspect and quarantined fingerprints and release one at every daemon. */
@scoped(Lifecycle.ContainerScoped)
export class QuarantineRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/quarantine', access: 'operator', handle: (_req, res) => sendJson(res, 200, { entries: this.quarantine.list() }) },
    {
      method: 'delete',
      path: '/operator/quarantine/:fingerprint',
      access: 'operator',
      handle: (req, res) => {
        if (this.quarantine.release(req.params.fingerprint!)) sendJson(res, 200, {})
        else sendProblem(res, { status: 404, code: 'no-such-fingerprint', detail: 'nothing is held against it at this daemon' })
      }
    }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (@inject(Quarantine) private readonly quarantine: Quarantine) {}
}

partRegistry.register({ name: 'quarantine routes', part: QuarantineRoutes, needs: ['quarantine'] })

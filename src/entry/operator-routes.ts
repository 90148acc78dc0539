import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { Account } from '../admission/account.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { readBody } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { InstanceList } from '../platform/instance-list.js'
import type { ObjectStore } from '../platform/object-store.js'
import type { Route } from './route.js'
import { routePoint } from './route-point.js'
import { sendProblem } from './send-problem.js'

const BODY_LIMIT = 4_000_000

/** What operators ask of a daemon: apply a configuration, read it, the account and the members. */
@scoped(Lifecycle.ContainerScoped)
export class OperatorRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/configuration', access: 'operator', handle: (_req, res) => sendJson(res, 200, this.configuration.value) },
    { method: 'put', path: '/operator/configuration', access: 'operator', handle: async (req, res) => await this.apply(req, res) },
    { method: 'get', path: '/operator/account', access: 'operator', handle: (_req, res) => sendJson(res, 200, { instance: this.settings.instance, rows: this.account.read() }) },
    { method: 'get', path: '/operator/status', access: 'operator', handle: (_req, res) => this.showStatus(res) },
    { method: 'get', path: '/healthz', access: 'public', handle: (_req, res) => sendJson(res, 200, { status: 'ok' }) },
    { method: 'get', path: '/readyz', access: 'public', handle: (_req, res) => this.showReady(res) }
  ] satisfies Route[]).map(route => routePoint.of(route))

  constructor (
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Account) private readonly account: Account,
    @inject(Members) private readonly members: Members,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  private showReady (res: Response): void {
    const ready = this.configuration.value.version > 0
    sendJson(res, ready ? 200 : 503, { ready, configuration: this.configuration.value.version })
  }

  private showStatus (res: Response): void {
    const servers = this.list.all.filter(({ peerPort }) => peerPort === undefined).map(({ name }) => name)
    sendJson(res, 200, { instance: this.settings.instance, configuration: this.configuration.value.version, members: this.members.all(), servers })
  }

  private async apply (req: Request, res: Response): Promise<void> {
    const body = await readBody(req, BODY_LIMIT)
    if (body.err) return sendProblem(res, { status: 413, code: 'body-too-large', detail: `over the limit of ${BODY_LIMIT} bytes` })
    const { configuration, basedOn } = JSON.parse(body.val.toString())
    const written = await this.store.put('configuration', 'manifest', configuration, basedOn, 'operator')
    if (written.ok) return sendJson(res, 200, { version: written.val.version })
    const conflict = written.val.type === 'conflict'
    sendProblem(res, {
      status: conflict ? 409 : 503,
      code: conflict ? 'version-conflict' : 'platform',
      detail: conflict ? `it was based on version ${basedOn}, and another one has been accepted since` : 'the platform did not take it'
    })
  }
}

partRegistry.register({ name: 'operator routes', part: OperatorRoutes, needs: ['members'] })

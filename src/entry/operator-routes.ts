import type { Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { Shutdown } from '../kernel/shutdown.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { InstanceList } from '../store/instance-list.js'
import type { HttpRoute } from './http-route.js'
import { routePoint } from './route-point.js'

/** Routes for operators and probes: status, drain, liveness and readiness. */
@scoped(Lifecycle.ContainerScoped)
export class OperatorRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/status', access: 'operator', handle: (_req, res) => this.showStatus(res) },
    { method: 'post', path: '/operator/drain', access: 'operator', handle: (_req, res) => this.beginDrain(res) },
    { method: 'get', path: '/healthz', access: 'public', handle: (_req, res) => sendJson(res, 200, { status: 'ok' }) },
    { method: 'get', path: '/readyz', access: 'public', handle: (_req, res) => this.showReady(res) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Shutdown) private readonly shutdown: Shutdown,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  private beginDrain (res: Response): void {
    sendJson(res, 202, { instance: this.settings.instance, state: 'draining' })
    this.shutdown.begin()
  }

  private showReady (res: Response): void {
    const ready = this.configuration.value.version > 0 && this.members.self.state !== 'leaving'
    sendJson(res, ready ? 200 : 503, { ready, configuration: this.configuration.value.version })
  }

  private showStatus (res: Response): void {
    const servers = this.list.all.filter(({ peerPort }) => peerPort === undefined).map(({ name }) => name)
    sendJson(res, 200, { instance: this.settings.instance, configuration: this.configuration.value.version, members: this.members.all(), servers, memory: process.memoryUsage.rss() })
  }
}

partRegistry.register({ name: 'operator routes', part: OperatorRoutes, needs: ['members'] })

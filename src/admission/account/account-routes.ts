import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import type { HttpRoute } from '../../entry/http-route.js'
import { routePoint } from '../../entry/route-point.js'
import { sendProblem } from '../../entry/send-problem.js'
import { sendJson } from '../../http/send-json.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { AccountReader } from './account-reader.js'
import { isDay } from './is-day.js'

/**
 * Serves operators the account of the fleet: GET /operator/account, with `caller`, `since` and `until` (YYYY-MM-DD), and GET
 * /operator/callers, with the share and team of each caller.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/account', access: 'operator', handle: async (req, res) => await this.show(req, res) },
    { method: 'get', path: '/operator/callers', access: 'operator', handle: (_req, res) => this.listCallers(res) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(AccountReader) private readonly reader: AccountReader,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  private async show (req: Request, res: Response): Promise<void> {
    const { caller, since, until } = req.query as Record<string, string | undefined>
    const wrong = Object.entries({ since, until }).filter(([, day]) => day !== undefined && !isDay(day))
    if (wrong.length > 0) return sendProblem(res, { status: 400, code: 'bad-day', detail: wrong.map(([key, day]) => `${key}: ${day} is not a day as YYYY-MM-DD`).join('; ') })
    sendJson(res, 200, { instance: this.settings.instance, ...await this.reader.read({ caller, since, until }) })
  }

  /** Lists the callers without their tokens. */
  private listCallers (res: Response): void {
    const callers = Object.entries(this.configuration.value.callers).map(([name, { share, team }]) => [name, { share, team }])
    sendJson(res, 200, { callers: Object.fromEntries(callers) })
  }
}

partRegistry.register({ name: 'account routes', part: AccountRoutes, needs: ['account questions', 'configuration'] })

import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { HttpRoute } from '../../entry/http-route.js'
import { routePoint } from '../../entry/route-point.js'
import { sendProblem } from '../../entry/send-problem.js'
import { readBody } from '../../http/read-body.js'
import { sendJson } from '../../http/send-json.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { failUnreachable } from '../../kernel/unreachable.js'
import type { ApplyOutcome } from './apply-outcome.js'
import { ConfigurationDistribution } from './configuration-distribution.js'
import { ConfigurationHolder } from '../configuration-holder.js'
import { ConfigurationRollout } from './configuration-rollout.js'
import { ConfigurationWriter } from './configuration-writer.js'
import type { FolderChange } from './folder-change.js'
import type { Manifest } from './manifest.js'
import { formatFinding } from '../check/format-finding.js'

const MAX_BODY_BYTES = 8_000_000
const MAX_LISTED_FINDINGS = 100
const MAX_DETAIL_FINDINGS = 5

/** Operator routes of the configuration: read it, its files, its history and its rollout status, and change it. */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/operator/configuration', access: 'operator', handle: (_req, res) => sendJson(res, 200, this.holder.value) },
    { method: 'get', path: '/operator/configuration/files', access: 'operator', handle: (_req, res) => this.showFiles(res) },
    { method: 'get', path: '/operator/configuration/history', access: 'operator', handle: (_req, res) => this.showHistory(res) },
    { method: 'get', path: '/operator/configuration/reach', access: 'operator', handle: async (req, res) => sendJson(res, 200, await this.rollout.read(Number(req.query.version ?? this.holder.value.version))) },
    { method: 'put', path: '/operator/configuration', access: 'operator', handle: async (req, res) => await this.apply(req, res) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(ConfigurationDistribution) private readonly distribution: ConfigurationDistribution,
    @inject(ConfigurationWriter) private readonly writer: ConfigurationWriter,
    @inject(ConfigurationRollout) private readonly rollout: ConfigurationRollout
  ) {}

  private showFiles (res: Response): void {
    sendJson(res, 200, { version: this.distribution.head?.version ?? 0, files: Object.fromEntries(this.distribution.listFiles()) })
  }

  private showHistory (res: Response): void {
    const { head } = this.distribution
    sendJson(res, 200, { version: head?.version ?? 0, changes: (head?.body as Manifest | undefined)?.changes ?? [] })
  }

  private async apply (req: Request, res: Response): Promise<void> {
    const body = await readBody(req, MAX_BODY_BYTES)
    if (body.err) return sendProblem(res, { status: 413, code: 'body-too-large', detail: `over the limit of ${MAX_BODY_BYTES} bytes` })
    const change = readChange(body.val.toString())
    if (change === undefined) return sendProblem(res, { status: 400, code: 'bad-change', detail: 'the body must be JSON with basedOn (a version), put (texts by file name), remove (file names) and by' })
    sendOutcome(res, change, await this.writer.apply(change))
  }
}

function readChange (text: string): FolderChange | undefined {
  try {
    const { basedOn, put = {}, remove = [], by = 'unnamed' } = JSON.parse(text)
    const isPutValid = typeof put === 'object' && put !== null && Object.entries(put).every(([name, text]) => name.endsWith('.yaml') && typeof text === 'string')
    const isRemoveValid = Array.isArray(remove) && remove.every(name => typeof name === 'string')
    return Number.isInteger(basedOn) && isPutValid && isRemoveValid ? { basedOn, put, remove, by: String(by).slice(0, 100) } : undefined
  } catch {
    return undefined
  }
}

function sendOutcome (res: Response, { basedOn }: FolderChange, outcome: ApplyOutcome): void {
  switch (outcome.type) {
    case 'accepted': return sendJson(res, 200, { version: outcome.version, changed: outcome.changed })
    case 'unchanged': return sendJson(res, 200, { version: outcome.version, changed: [] })
    case 'findings': return sendProblem(res, { status: 422, code: 'findings', detail: outcome.findings.slice(0, MAX_DETAIL_FINDINGS).map(formatFinding).join('; '), more: { count: outcome.findings.length, findings: outcome.findings.slice(0, MAX_LISTED_FINDINGS) } })
    case 'conflict': return sendProblem(res, { status: 409, code: 'version-conflict', detail: `it was based on version ${basedOn}, and the accepted one is ${outcome.version}; ${showChangesSince(outcome)}`, more: { version: outcome.version, files: outcome.files ?? null } })
    case 'not sent': return sendProblem(res, { status: 503, code: 'not-accepted', detail: `it has not been accepted: ${outcome.reason}`, retryAfter: outcome.retryAfter === Infinity ? undefined : outcome.retryAfter, more: { outcome: 'not accepted' } })
    case 'unknown': return sendProblem(res, { status: 504, code: 'outcome-unknown', detail: `it is not known whether it was accepted: ${outcome.reason}; read the history before you try again`, more: { outcome: 'unknown' } })
    default: return failUnreachable(outcome)
  }
}

function showChangesSince ({ files, more }: Extract<ApplyOutcome, { type: 'conflict' }>): string {
  if (files === undefined) return 'the history does not reach back that far'
  return `since then ${files.join(', ')}${more > 0 ? ` and ${more} more` : ''} changed`
}

partRegistry.register({ name: 'configuration routes', part: ConfigurationRoutes, needs: ['configuration', 'configuration reach'] })

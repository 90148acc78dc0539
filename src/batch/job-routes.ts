import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { Account } from '../admission/account/account.js'
import type { HttpRoute } from '../entry/http-route.js'
import { routePoint } from '../entry/route-point.js'
import { sendProblem } from '../entry/send-problem.js'
import { readBody } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { FileStore } from './files/file-store.js'
import type { Job } from './job.js'
import { JobSupervisor } from './job-supervisor.js'
import { JobStore } from './job-store.js'
import { readJobRequest } from './read-job-request.js'
import { readPage } from './read-page.js'
import { sendStoreProblem } from './send-store-problem.js'
import { showJob } from './show-job.js'
import { showList } from './show-list.js'

/** Maximum size in bytes of a request body. */
const BODY_LIMIT = 100_000

/** Serves the OpenAI batches API. */
@scoped(Lifecycle.ContainerScoped)
export class JobRoutes implements Part {
  readonly extensions = ([
    { method: 'post', path: '/v1/batches', access: 'caller', handle: async (req, res, caller) => await this.submit(req, res, caller) },
    { method: 'get', path: '/v1/batches', access: 'caller', handle: async (req, res, caller) => await this.list(req, res, caller) },
    { method: 'get', path: '/v1/batches/:id', access: 'caller', handle: async (req, res, caller) => await this.show(req, res, caller) },
    { method: 'post', path: '/v1/batches/:id/cancel', access: 'caller', handle: async (req, res, caller) => await this.cancel(req, res, caller) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(FileStore) private readonly files: FileStore,
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(JobSupervisor) private readonly supervisor: JobSupervisor,
    @inject(Account) private readonly account: Account,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  private async submit (req: Request, res: Response, caller: string): Promise<void> {
    const request = readJobRequest((await readBody(req, BODY_LIMIT)).unwrapOr(Buffer.alloc(0)))
    if (request.err) return sendProblem(res, { status: 400, code: 'bad-batch', detail: request.val.join('; '), more: { findings: request.val } })
    const file = await this.files.read(request.val.file)
    if (file.err) return sendStoreProblem(res, file.val)
    if (file.val.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    const key = String(req.headers['idempotency-key'] ?? JSON.stringify([request.val.file, request.val.endpoint, request.val.metadata]))
    const result = await this.jobs.create(file.val, { ...request.val, key })
    if (result.err) return sendStoreProblem(res, result.val)
    const { job, created } = result.val
    if (created) this.accept(job)
    sendJson(res, 200, showJob(job, this.clock.date()))
  }

  private accept (job: Job): void {
    for (const { service, sizes } of job.services) {
      const items = sizes.reduce((sum, size) => sum + size, 0)
      for (let i = 0; i < items; i++) this.account.count(job.caller, service, 'batch', { type: 'asked' })
    }
    this.timeline.record({ part: 'batch', what: 'accepted', job: job.id, detail: `${job.caller}, ${job.items} items, due ${new Date(job.due).toISOString()}` })
    this.supervisor.announceSubmit(job.services.map(({ service }) => service))
  }

  private async list (req: Request, res: Response, caller: string): Promise<void> {
    const { after, limit } = readPage(req.query)
    const from = after === undefined ? undefined : await this.jobs.read(after)
    if (from?.err) return sendStoreProblem(res, from.val)
    const page = await this.jobs.list(caller, { after: from?.val as Job | undefined, limit })
    if (page.err) return sendStoreProblem(res, page.val)
    sendJson(res, 200, showList(page.val.jobs.map(job => showJob(job, this.clock.date())), page.val.more))
  }

  private async show (req: Request, res: Response, caller: string): Promise<void> {
    const job = await this.jobs.read(req.params.id!)
    if (job.err) return sendStoreProblem(res, job.val)
    if (job.val.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    sendJson(res, 200, showJob(job.val, this.clock.date()))
  }

  /**
   * Answers once the cancellation is durable. During an outage of the platform it is refused, and may be sent again.
   */
  private async cancel (req: Request, res: Response, caller: string): Promise<void> {
    const job = await this.jobs.cancel(req.params.id!, caller)
    if (job.err) return sendStoreProblem(res, job.val)
    if (job.val.status === 'cancelling') this.supervisor.announceCancel(job.val.id)
    this.timeline.record({ part: 'batch', what: 'cancelled', job: job.val.id, detail: caller })
    sendJson(res, 200, showJob(job.val, this.clock.date()))
  }
}

partRegistry.register({ name: 'job routes', part: JobRoutes, needs: ['job care'] })

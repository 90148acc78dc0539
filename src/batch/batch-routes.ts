import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Route } from '../entry/route.js'
import { routePoint } from '../entry/route-point.js'
import { sendProblem } from '../entry/send-problem.js'
import { readBody } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { StoreError } from '../platform/store-error.js'
import type { BatchFile } from './batch-file.js'
import type { ItemResult } from './item-result.js'
import type { Job } from './job.js'
import { JobStore } from './job-store.js'
import { readItems } from './read-items.js'

const BODY_LIMIT = 100_000
const DAY = 86_400_000
const MS_PER_SECOND = 1_000

/** Files and batches in the OpenAI shapes. */
@scoped(Lifecycle.ContainerScoped)
export class BatchRoutes implements Part {
  readonly extensions = ([
    { method: 'post', path: '/v1/files', access: 'caller', handle: async (req, res, caller) => await this.upload(req, res, caller) },
    { method: 'get', path: '/v1/files/:id', access: 'caller', handle: async (req, res, caller) => await this.showFile(req, res, caller) },
    { method: 'get', path: '/v1/files/:id/content', access: 'caller', handle: async (req, res, caller) => await this.sendContent(req, res, caller) },
    { method: 'post', path: '/v1/batches', access: 'caller', handle: async (req, res, caller) => await this.submit(req, res, caller) },
    { method: 'get', path: '/v1/batches/:id', access: 'caller', handle: async (req, res, caller) => await this.showJob(req, res, caller) },
    { method: 'post', path: '/v1/batches/:id/cancel', access: 'caller', handle: async (req, res, caller) => await this.cancel(req, res, caller) }
  ] satisfies Route[]).map(route => routePoint.of(route))

  constructor (
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder
  ) {}

  private async upload (req: Request, res: Response, caller: string): Promise<void> {
    const limit = this.configuration.value.limits.fileBytes
    const body = await readBody(req, limit)
    if (body.err) return sendProblem(res, { status: 413, code: 'file-too-large', detail: `file: over the limit of ${limit} bytes` })
    const file = await readFormFile(req, body.val)
    if (file === undefined) return sendProblem(res, { status: 400, code: 'no-file', detail: 'file: must be a file of a multipart form' })
    const items = readItems(file.content)
    if (items.err) return sendProblem(res, { status: 400, code: 'bad-file', detail: `file: line ${items.val[0]!.line}: ${items.val[0]!.message}`, more: { findings: items.val } })
    const kept = await this.jobs.createFile(caller, file.name, file.content, items.val)
    if (kept.err) return sendStoreProblem(res, kept.val)
    sendJson(res, 200, showFile(kept.val))
  }

  private async showFile (req: Request, res: Response, caller: string): Promise<void> {
    const file = await this.jobs.readFile(req.params.id!)
    if (file.err) return sendStoreProblem(res, file.val)
    if (file.val.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    sendJson(res, 200, showFile(file.val))
  }

  private async submit (req: Request, res: Response, caller: string): Promise<void> {
    const body = readJson((await readBody(req, BODY_LIMIT)).unwrapOr(Buffer.alloc(0)))
    const { input_file_id: fileId, endpoint, metadata } = body ?? {}
    if (typeof fileId !== 'string') return sendProblem(res, { status: 400, code: 'bad-batch', detail: 'input_file_id: must be the id of a file' })
    if (typeof endpoint !== 'string') return sendProblem(res, { status: 400, code: 'bad-batch', detail: 'endpoint: must be a path' })
    const file = await this.jobs.readFile(fileId)
    if (file.err) return sendStoreProblem(res, file.val)
    if (file.val.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    const key = String(req.headers['idempotency-key'] ?? JSON.stringify([fileId, endpoint, metadata]))
    const job = await this.jobs.createJob(file.val, { key, endpoint, window: DAY, metadata: metadata as Record<string, string> })
    if (job.err) return sendStoreProblem(res, job.val)
    sendJson(res, 200, showJob(job.val))
  }

  private async showJob (req: Request, res: Response, caller: string): Promise<void> {
    const job = await this.jobs.readJob(req.params.id!)
    if (job.err) return sendStoreProblem(res, job.val)
    if (job.val.value.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    sendJson(res, 200, showJob(job.val.value))
  }

  private async cancel (req: Request, res: Response, caller: string): Promise<void> {
    const job = await this.jobs.updateJob(req.params.id!, job => {
      return job.caller === caller && job.status === 'in_progress' ? { ...job, status: 'cancelled' } : undefined
    })
    if (job.err) return sendStoreProblem(res, job.val)
    if (job.val.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    sendJson(res, 200, showJob(job.val))
  }

  /** The results (`ID.output`) or failures (`ID.errors`) of a job, one line an item. */
  private async sendContent (req: Request, res: Response, caller: string): Promise<void> {
    const [id, which] = req.params.id!.split('.')
    const job = await this.jobs.readJob(id!)
    if (job.err) return sendStoreProblem(res, job.val)
    if (job.val.value.caller !== caller) return sendStoreProblem(res, { type: 'missing' })
    res.writeHead(200, { 'content-type': 'application/jsonl' })
    for (let n = 0; n < job.val.value.chunks; n++) {
      const chunk = await this.jobs.readChunk(id!, n)
      if (chunk.err && chunk.val.type !== 'missing') {
        res.destroy()
        return
      }
      const results = chunk.ok ? Object.entries(chunk.val.value.results) : []
      for (const [item, result] of results) {
        if ((which === 'output') === (result.type === 'completed')) res.write(JSON.stringify(showResult(id!, item, result)) + '\n')
      }
    }
    res.end()
  }
}

async function readFormFile (req: Request, body: Buffer): Promise<{ name: string, content: string } | undefined> {
  try {
    const form = await new globalThis.Response(new Uint8Array(body), { headers: { 'content-type': String(req.headers['content-type']) } }).formData()
    const file = form.get('file')
    return file === null || typeof file === 'string' ? undefined : { name: file.name, content: await file.text() }
  } catch {
    return undefined
  }
}

function readJson (body: Buffer): Record<string, unknown> | undefined {
  try {
    return JSON.parse(body.toString())
  } catch {
    return undefined
  }
}

function sendStoreProblem (res: Response, error: StoreError): void {
  if (error.type === 'missing') return sendProblem(res, { status: 404, code: 'no-such-object', detail: 'there is nothing by this id' })
  sendProblem(res, { status: 503, code: 'platform', detail: 'the platform did not answer', retryAfter: 2_000, more: { ran: error.type === 'unknown' ? 'unknown' : 'not run' } })
}

function showFile (file: BatchFile): unknown {
  return { id: file.id, object: 'file', bytes: file.bytes, created_at: Math.floor(file.created / MS_PER_SECOND), filename: file.name, purpose: 'batch', status: 'processed' }
}

function showJob (job: Job): unknown {
  const finished = Object.values(job.finished)
  const completed = finished.reduce((sum, counts) => sum + counts.completed, 0)
  const failed = finished.reduce((sum, counts) => sum + counts.failed, 0)
  return {
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    input_file_id: job.file,
    completion_window: '24h',
    status: job.status,
    output_file_id: `${job.id}.output`,
    error_file_id: `${job.id}.errors`,
    created_at: Math.floor(job.created / MS_PER_SECOND),
    expires_at: Math.floor(job.due / MS_PER_SECOND),
    request_counts: { total: job.items, completed, failed },
    metadata: job.metadata ?? null
  }
}

function showResult (job: string, item: string, result: ItemResult): unknown {
  const id = `${job}.${item}`
  switch (result.type) {
    case 'completed': return { id, custom_id: item, response: { status_code: result.status, request_id: id, body: result.body }, error: null }
    case 'failed': return { id, custom_id: item, response: null, error: { code: result.cause, message: result.detail } }
  }
}

partRegistry.register({ name: 'batch routes', part: BatchRoutes })

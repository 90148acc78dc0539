import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import type { HttpRoute } from '../../entry/http-route.js'
import { routePoint } from '../../entry/route-point.js'
import { sendProblem } from '../../entry/send-problem.js'
import { readBody } from '../../http/read-body.js'
import { sendJson } from '../../http/send-json.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { tokens } from '../../kernel/tokens.js'
import type { BatchFile } from './batch-file.js'
import { FileStore } from './file-store.js'
import type { Job } from '../job.js'
import { JobStore } from '../job-store.js'
import { listChunks } from '../chunks/list-chunks.js'
import { readFormFile } from './read-form-file.js'
import { readPage } from '../read-page.js'
import { readUpload } from './read-upload.js'
import { ResultReader } from '../results/result-reader.js'
import { sendLines } from '../send-lines.js'
import { sendStoreProblem } from '../send-store-problem.js'
import { showFile } from './show-file.js'
import { showList } from '../show-list.js'
import { UploadBudget } from './upload-budget.js'

/** Maximum size in bytes of all upload bodies in memory. */
const UPLOAD_MEMORY = 250_000_000
const RESULT_FILE = /^(batch-\w+)\.(output|errors)$/

/** Serves the OpenAI files API: uploaded batch files, and the results of jobs as read-only files. */
@scoped(Lifecycle.ContainerScoped)
export class FileRoutes implements Part {
  readonly extensions = ([
    { method: 'post', path: '/v1/files', access: 'caller', handle: async (req, res, caller) => await this.upload(req, res, caller) },
    { method: 'get', path: '/v1/files', access: 'caller', handle: async (req, res, caller) => await this.list(req, res, caller) },
    { method: 'get', path: '/v1/files/:id', access: 'caller', handle: async (req, res, caller) => await this.show(req, res, caller) },
    { method: 'delete', path: '/v1/files/:id', access: 'caller', handle: async (req, res, caller) => await this.delete(req, res, caller) },
    { method: 'get', path: '/v1/files/:id/content', access: 'caller', handle: async (req, res, caller) => await this.sendContent(req, res, caller) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  private readonly budget = new UploadBudget(UPLOAD_MEMORY)

  constructor (
    @inject(FileStore) private readonly files: FileStore,
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(ResultReader) private readonly results: ResultReader,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  private async upload (req: Request, res: Response, caller: string): Promise<void> {
    const limit = this.configuration.value.limits.fileBytes
    const length = Number(req.headers['content-length'] ?? limit)
    if (!(length <= limit)) return sendTooLarge(res, limit)
    const release = this.budget.reserve(length)
    if (release === undefined) return sendProblem(res, { status: 503, code: 'overloaded', detail: 'too many uploads at once', retryAfter: 2_000, more: { ran: 'not run' } })
    try {
      const body = await readBody(req, limit)
      if (body.err) return sendTooLarge(res, limit)
      await this.storeFile(res, caller, await readFormFile(String(req.headers['content-type']), body.val))
    } finally {
      release()
    }
  }

  private async storeFile (res: Response, caller: string, file: Awaited<ReturnType<typeof readFormFile>>): Promise<void> {
    if (file === undefined) return sendProblem(res, { status: 400, code: 'no-file', detail: 'file: must be a file of a multipart form' })
    const items = readUpload(file.content, this.configuration.value.services)
    if (items.err) return sendProblem(res, { status: 400, code: 'bad-file', detail: `file: line ${items.val[0]!.line}: ${items.val[0]!.message}`, more: { findings: items.val } })
    const stored = await this.files.create({ caller, name: file.name, bytes: Buffer.byteLength(file.content), items: items.val })
    if (stored.err) return sendStoreProblem(res, stored.val)
    sendJson(res, 200, showFile(stored.val))
  }

  private async list (req: Request, res: Response, caller: string): Promise<void> {
    const { after, limit } = readPage(req.query)
    const from = after === undefined ? undefined : await this.files.read(after)
    if (from?.err) return sendStoreProblem(res, from.val)
    const page = await this.files.list(caller, { after: from?.val as BatchFile | undefined, limit })
    if (page.err) return sendStoreProblem(res, page.val)
    sendJson(res, 200, showList(page.val.files.map(showFile), page.val.more))
  }

  private async show (req: Request, res: Response, caller: string): Promise<void> {
    const [, job, which] = RESULT_FILE.exec(req.params.id!) ?? []
    if (job !== undefined) {
      const found = await this.findJob(res, job, caller)
      if (found !== undefined) sendJson(res, 200, { id: req.params.id, object: 'file', bytes: 0, created_at: Math.floor(found.created / 1_000), filename: `${which}.jsonl`, purpose: 'batch_output', status: 'processed' })
      return
    }
    const file = await this.findFile(res, req.params.id!, caller)
    if (file !== undefined) sendJson(res, 200, showFile(file))
  }

  private async delete (req: Request, res: Response, caller: string): Promise<void> {
    const file = await this.findFile(res, req.params.id!, caller)
    if (file === undefined) return
    const deleted = await this.files.delete(file)
    if (deleted.err) return sendStoreProblem(res, deleted.val)
    sendJson(res, 200, { id: file.id, object: 'file', deleted: true })
  }

  private async sendContent (req: Request, res: Response, caller: string): Promise<void> {
    const [, id, which] = RESULT_FILE.exec(req.params.id!) ?? []
    if (id === undefined) {
      const file = await this.findFile(res, req.params.id!, caller)
      if (file !== undefined) await sendLines(res, this.readInput(file))
      return
    }
    const job = await this.findJob(res, id, caller)
    if (job === undefined) return
    const whole = await sendLines(res, this.results.read(job, which as 'output' | 'errors'))
    if (whole && job.ended !== undefined && job.read === undefined) await this.jobs.update(id, job => ({ ...job, read: job.read ?? this.clock.date() }))
  }

  private async * readInput (file: BatchFile): AsyncGenerator<string> {
    for (const { n } of listChunks(file.services)) {
      for (const { id, url, body, idempotent } of (await this.files.readItems(file.id, n)).unwrap()) {
        yield JSON.stringify({ custom_id: id, method: 'POST', url, body, ...idempotent === false ? { idempotent } : {} }) + '\n'
      }
    }
  }

  private async findFile (res: Response, id: string, caller: string): Promise<BatchFile | undefined> {
    const file = await this.files.read(id)
    if (file.ok && file.val.caller === caller) return file.val
    sendStoreProblem(res, file.ok ? { type: 'missing' } : file.val)
    return undefined
  }

  private async findJob (res: Response, id: string, caller: string): Promise<Job | undefined> {
    const job = await this.jobs.read(id)
    if (job.ok && job.val.caller === caller) return job.val
    sendStoreProblem(res, job.ok ? { type: 'missing' } : job.val)
    return undefined
  }
}

function sendTooLarge (res: Response, limit: number): void {
  sendProblem(res, { status: 413, code: 'file-too-large', detail: `file: over the limit of ${limit} bytes, or cut` })
}

partRegistry.register({ name: 'file routes', part: FileRoutes })

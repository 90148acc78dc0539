import { App, type Request, type Response } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import { Connections } from './connections.js'
import { EngineModel } from './engine-model.js'
import type { EngineFaults } from './engine-faults.js'
import type { EngineParameters } from './engine-parameters.js'
import { readCompletion } from './read-completion.js'
import { readOrder } from './read-order.js'
import type { TokenWriter } from './token-writer.js'
import { writeStream } from './write-stream.js'
import { writeFullAnswer } from './write-full-answer.js'

const BODY_LIMIT = 4_000_000 // bytes
const CRASH_CODE = 70
const IMPOSSIBLE = '[impossible]'

/** A stand-in model engine over HTTP: OpenAI-compatible completions, load reports, cache events, orders, faults. */
export class Engine {
  private readonly model: EngineModel
  private readonly server: Server
  private readonly connections: Connections
  private faults: EngineFaults = {}

  constructor (parameters: Partial<EngineParameters> = {}) {
    this.model = new EngineModel(parameters)
    const app = new App()
    app.post('/v1/chat/completions', async (req, res) => await this.complete(req, res, true))
    app.post('/v1/completions', async (req, res) => await this.complete(req, res, false))
    app.get('/health', (_req, res) => sendJson(res, 200, { status: 'ok' }))
    app.get('/load', (_req, res) => sendJson(res, 200, this.model.report))
    app.get('/state', (_req, res) => sendJson(res, 200, this.model.state.read(Date.now())))
    app.get('/cache-events', (req, res) => sendJson(res, 200, { events: this.model.cacheEvents.list(Number(req.query.after ?? 0), Date.now()) }))
    app.post('/orders', async (req, res) => await this.takeOrder(req, res))
    app.post('/kv/export', async (req, res) => await this.exportKv(req, res))
    app.post('/control/faults', async (req, res) => await this.setFaults(req, res))
    app.get('/control/log', (_req, res) => sendJson(res, 200, { runs: this.model.log }))
    app.get('/control/orders', (_req, res) => sendJson(res, 200, { orders: this.model.state.accepted }))
    this.server = createAppServer(app)
    this.connections = new Connections(this.server)
  }

  async listen (port: number, host = '127.0.0.1'): Promise<number> {
    return await listen(this.server, host, port)
  }

  close (): void {
    this.model.close()
    this.server.close()
    this.server.closeAllConnections()
  }

  private async complete (req: Request, res: Response, chat: boolean): Promise<void> {
    const text = await readText(req, res)
    if (text === undefined || this.connections.isStalled(req.socket)) return
    const read = readCompletion(text, chat)
    if (read.err) return sendInvalid(res, 400, read.val)
    const completion = read.val
    if (completion.prompt.includes(IMPOSSIBLE)) return sendInvalid(res, 422, 'this prompt can never be done')
    const { crashOn, answerDelay = 0 } = this.faults
    if (crashOn !== undefined && completion.prompt.includes(crashOn)) process.exit(CRASH_CODE)
    if (answerDelay > 0) await new Promise(resolve => setTimeout(resolve, answerDelay))
    const id = String(req.headers['x-request-id'])
    const words = this.model.listWords(completion)
    const metadata = { id, model: completion.model, chat, words, resumed: completion.resumeFrom.length, promptTokens: Math.ceil(completion.prompt.length / 4), includeUsage: completion.includeUsage }
    const write = (completion.stream ? writeStream : writeFullAnswer)(res, metadata)
    const run = this.model.start(completion, id, text, this.applyFaults(res, write))
    res.on('close', () => run.cancel())
  }

  /** Cuts or stalls the answer at a token if a fault demands it; the log still records the whole run. */
  private applyFaults (res: Response, write: TokenWriter): TokenWriter {
    const { cutAfter = Infinity, silenceAfter = Infinity, share = 1 } = this.faults
    const hit = share >= 1 || this.model.random.next() < share
    let tokens = 0
    return (word, last) => {
      tokens++
      if (hit && tokens > cutAfter) res.socket?.destroy()
      else if ((!hit || tokens <= silenceAfter) && !this.connections.isStalled(res.socket)) write(word, last)
    }
  }

  private async takeOrder (req: Request, res: Response): Promise<void> {
    const text = await readText(req, res)
    if (text === undefined) return
    const order = readOrder(text)
    if (order.err) return sendInvalid(res, 400, order.val)
    const accepted = this.model.state.apply(order.val, Date.now())
    if (accepted.err) return sendJson(res, 409, { error: { message: 'old fencing number' }, fencing: accepted.val.fencing })
    sendJson(res, 200, {})
  }

  private async exportKv (req: Request, res: Response): Promise<void> {
    const text = await readText(req, res)
    if (text === undefined) return
    const exported = this.model.exportKv(readRequestId(text))
    if (exported === undefined) return sendInvalid(res, 404, 'request_id: no such request is running')
    sendJson(res, 200, exported)
  }

  private async setFaults (req: Request, res: Response): Promise<void> {
    const text = await readText(req, res)
    if (text === undefined) return
    this.faults = JSON.parse(text) as EngineFaults
    if (this.faults.die === true) process.exit(CRASH_CODE)
    this.connections.stall(this.faults.silenceOpen ?? 0, req.socket)
    this.model.loop.factor = this.faults.stepFactor ?? 1
    if (this.faults.frozen === true) this.model.loop.pause()
    else this.model.loop.resume()
    sendJson(res, 200, {})
  }
}

async function readText (req: Request, res: Response): Promise<string | undefined> {
  const read = await readBody(req, BODY_LIMIT)
  if (read.ok) return read.val.toString()
  sendInvalid(res, 413, 'the body is too large or was cut')
  return undefined
}

function readRequestId (text: string): string {
  try {
    return String(JSON.parse(text)?.request_id)
  } catch {
    return ''
  }
}

function sendInvalid (res: Response, status: number, message: string): void {
  sendJson(res, status, { error: { message, type: 'invalid_request_error' } })
}

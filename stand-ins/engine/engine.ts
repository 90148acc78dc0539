import { App, type Request, type Response } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import { answerWords } from './answer-words.js'
import type { EngineFaults } from './engine-faults.js'
import { Batcher } from './batcher.js'
import type { EngineParameters } from './engine-parameters.js'
import type { RunRecord } from './run-record.js'

const BODY_LIMIT = 4_000_000
const DEFAULT_TOKENS = 16

const CRASH_CODE = 70

const DEFAULTS: EngineParameters = {
  stepBase: 2,
  stepPerSequence: 0.2,
  prefillPerToken: 0.02,
  memoryTokens: 20_000,
  maxRunning: 64,
  loadLag: 500,
  checksFencing: true
}

/** A stand-in model engine: OpenAI-shaped completions over continuous batching, a run log and load reports. */
export class Engine {
  readonly log: RunRecord[] = []
  private readonly parameters: EngineParameters
  private readonly batcher: Batcher
  private readonly server: Server
  private faults: EngineFaults = {}
  private stepping = false
  private report = { running: 0, waiting: 0 }
  private readonly reporter: NodeJS.Timeout

  constructor (parameters: Partial<EngineParameters> = {}) {
    this.parameters = { ...DEFAULTS, ...parameters }
    this.batcher = new Batcher(this.parameters)
    const app = new App()
    app.post('/v1/chat/completions', async (req, res) => await this.complete(req, res, true))
    app.post('/v1/completions', async (req, res) => await this.complete(req, res, false))
    app.get('/health', (_req, res) => sendJson(res, 200, { status: 'ok' }))
    app.get('/load', (_req, res) => sendJson(res, 200, this.report))
    app.post('/control/faults', async (req, res) => await this.setFaults(req, res))
    app.get('/control/log', (_req, res) => sendJson(res, 200, { runs: this.log }))
    this.server = createAppServer(app)
    this.reporter = setInterval(() => {
      this.report = { running: this.batcher.running.length, waiting: this.batcher.waiting.length }
    }, this.parameters.loadLag)
  }

  async listen (port: number, host = '127.0.0.1'): Promise<number> {
    return await listen(this.server, host, port)
  }

  close (): void {
    clearInterval(this.reporter)
    this.server.close()
    this.server.closeAllConnections()
  }

  private async complete (req: Request, res: Response, chat: boolean): Promise<void> {
    const read = await readBody(req, BODY_LIMIT)
    if (read.err) return sendJson(res, 413, { error: { message: 'too large' } })
    const text = read.val.toString()
    const body = JSON.parse(text)
    const prompt = chat ? body.messages.map((message: any) => message.content).join('\n') : String(body.prompt)
    if (prompt.includes('[impossible]')) return sendJson(res, 422, { error: { message: 'this prompt can never be done', type: 'invalid_request_error' } })
    if (this.faults.crashOn !== undefined && prompt.includes(this.faults.crashOn)) process.exit(CRASH_CODE)
    const record: RunRecord = { requestId: String(req.headers['x-request-id']), at: Date.now(), body: text, outcome: 'running' }
    this.log.push(record)
    const words = answerWords(prompt, body.max_tokens ?? DEFAULT_TOKENS)
    const writer = body.stream === true ? writeStream : writeWhole
    const write = writer(res, { id: record.requestId, model: body.model, chat, words })
    const onToken = applyFaults(this.faults, res, write)
    const sequence = {
      id: record.requestId,
      promptTokens: Math.ceil(prompt.length / 4),
      words,
      prefillLeft: Math.ceil(prompt.length / 4),
      done: 0,
      cancelled: false,
      onToken: (word: string, last: boolean) => {
        if (last) record.outcome = 'finished'
        onToken(word, last)
      }
    }
    res.on('close', () => {
      if (record.outcome !== 'running') return
      record.outcome = 'cancelled'
      sequence.cancelled = true
    })
    this.batcher.add(sequence)
    if (!this.stepping) this.step()
  }

  private async setFaults (req: Request, res: Response): Promise<void> {
    this.faults = JSON.parse((await readBody(req, BODY_LIMIT)).unwrap().toString())
    sendJson(res, 200, {})
  }

  private step (): void {
    const duration = this.batcher.step()
    this.stepping = duration > 0
    if (this.stepping) setTimeout(() => this.step(), duration)
  }
}

type TokenWriter = (word: string, last: boolean) => void

/** Cuts or silences the connection at a token, where that is asked for; the log still shows the run as it went. */
function applyFaults ({ cutAfter = Infinity, silenceAfter = Infinity }: EngineFaults, res: Response, write: TokenWriter): TokenWriter {
  let tokens = 0
  return (word, last) => {
    tokens++
    if (tokens > cutAfter) res.socket?.destroy()
    else if (tokens <= silenceAfter) write(word, last)
  }
}

interface AnswerShape { readonly id: string, readonly model: string, readonly chat: boolean, readonly words: readonly string[] }

function writeStream (res: Response, { id, model, chat }: AnswerShape): TokenWriter {
  res.writeHead(200, { 'content-type': 'text/event-stream' })
  let first = true
  return (word, last) => {
    const text = first ? word : ` ${word}`
    first = false
    const finish = last ? 'stop' : null
    const choice = chat ? { index: 0, delta: { content: text }, finish_reason: finish } : { index: 0, text, finish_reason: finish }
    const object = chat ? 'chat.completion.chunk' : 'text_completion'
    res.write(`data: ${JSON.stringify({ id, object, model, created: 0, choices: [choice] })}\n\n`)
    if (last) res.end('data: [DONE]\n\n')
  }
}

function writeWhole (res: Response, { id, model, chat, words }: AnswerShape): TokenWriter {
  return (_word, last) => {
    if (!last) return
    const text = words.join(' ')
    const choice = chat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' }
    const usage = { prompt_tokens: 0, completion_tokens: words.length, total_tokens: words.length }
    sendJson(res, 200, { id, object: chat ? 'chat.completion' : 'text_completion', created: 0, model, choices: [choice], usage })
  }
}

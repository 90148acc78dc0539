import { App, type Response } from '@tinyhttp/app'
import { appendFileSync } from 'node:fs'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import type { RunRecord } from '../engine/run-record.js'
import type { ServiceFaults } from './service-faults.js'

const BODY_LIMIT = 1_000_000 // bytes
const CRASH_CODE = 70

/** A stand-in plain service: echoes each request after `delay` ms and logs its run, also to `runFile`, which survives the process. */
export class Service {
  readonly log: RunRecord[] = []
  private readonly server: Server
  private faults: ServiceFaults = {}

  constructor ({ delay = 5, runFile }: { readonly delay?: number, readonly runFile?: string } = {}) {
    const app = new App()
    app.get('/health', (_req, res) => sendJson(res, 200, { status: 'ok' }))
    app.get('/load', (_req, res) => sendJson(res, 200, { running: 0, waiting: 0 }))
    app.get('/control/log', (_req, res) => sendJson(res, 200, { runs: this.log }))
    app.post('/control/faults', async (req, res) => {
      this.faults = JSON.parse((await readBody(req, BODY_LIMIT)).unwrap().toString())
      sendJson(res, 200, {})
    })
    app.all('/*', async (req, res) => {
      const body = (await readBody(req, BODY_LIMIT)).unwrapOr(Buffer.alloc(0)).toString()
      const run: RunRecord = { requestId: String(req.headers['x-request-id']), at: Date.now(), body, outcome: 'running' }
      this.log.push(run)
      if (runFile !== undefined) appendFileSync(runFile, `${run.requestId}\n`)
      const answer = { path: req.path, echo: body, run: this.log.length }
      const { silence = false, crash = false } = this.faults
      if (crash) process.exit(CRASH_CODE)
      if (!silence) setTimeout(() => this.answer(res, run, answer), this.faults.delay ?? delay)
    })
    this.server = createAppServer(app)
  }

  async listen (port: number, host = '127.0.0.1'): Promise<number> {
    return await listen(this.server, host, port)
  }

  private answer (res: Response, run: RunRecord, answer: object): void {
    run.outcome = 'finished'
    if (this.faults.cut !== true) return sendJson(res, 200, answer)
    const text = JSON.stringify(answer)
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    res.write(text.slice(0, text.length / 2), () => res.socket?.destroy())
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

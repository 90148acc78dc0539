import { App } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import type { RunRecord } from '../engine/run-record.js'

const BODY_LIMIT = 1_000_000

/** A stand-in plain service: answers any POST or GET with what it was asked, after `delay` ms, and logs each run. */
export class Service {
  readonly log: RunRecord[] = []
  private readonly server: Server

  constructor ({ delay = 5 }: { readonly delay?: number } = {}) {
    const app = new App()
    app.get('/health', (_req, res) => sendJson(res, 200, { status: 'ok' }))
    app.get('/load', (_req, res) => sendJson(res, 200, { running: 0, waiting: 0 }))
    app.get('/control/log', (_req, res) => sendJson(res, 200, { runs: this.log }))
    app.all('/*', async (req, res) => {
      const body = (await readBody(req, BODY_LIMIT)).unwrapOr(Buffer.alloc(0)).toString()
      const run: RunRecord = { requestId: String(req.headers['x-request-id']), at: Date.now(), body, outcome: 'running' }
      this.log.push(run)
      setTimeout(() => {
        run.outcome = 'finished'
        sendJson(res, 200, { path: req.path, echo: body, run: this.log.length })
      }, delay)
    })
    this.server = createAppServer(app)
  }

  async listen (port: number, host = '127.0.0.1'): Promise<number> {
    return await listen(this.server, host, port)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

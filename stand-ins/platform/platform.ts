import { App, type Request, type Response } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import type { Instance } from '../../src/platform/instance.js'
import { ObjectTable } from './object-table.js'

const VALUE_LIMIT = 1_000_000
const BODY_LIMIT = 2 * VALUE_LIMIT

/** Options of the stand-in platform; rates in calls a second. */
interface PlatformOptions { readonly writesPerSecond?: number, readonly readsPerSecond?: number }

/**
 * A stand-in for the platform: object API with conditional updates and watches, and the instance list.
 * It counts every call and refuses those above its rates.
 */
export class Platform {
  readonly objects = new ObjectTable()
  readonly instances = new Map<string, Instance>()
  readonly counts = { reads: 0, writes: 0, watches: 0, refused: 0 }
  private readonly server: Server
  private readonly limits: Required<PlatformOptions>
  private second = { at: 0, reads: 0, writes: 0 }

  constructor ({ writesPerSecond = 400, readsPerSecond = 2_000 }: PlatformOptions = {}) {
    this.limits = { writesPerSecond, readsPerSecond }
    const app = new App()
    app.get('/objects/:kind/:name', (req, res) => this.admit('reads', res) && this.readObject(req, res))
    app.put('/objects/:kind/:name', async (req, res) => this.admit('writes', res) && await this.writeObject(req, res))
    app.delete('/objects/:kind/:name', (req, res) => this.admit('writes', res) && this.removeObject(req, res))
    app.get('/objects/:kind', (req, res) => this.admit('reads', res) && this.listObjects(req, res))
    app.get('/watch/:kind', (req, res) => this.admit('reads', res) && this.watchObjects(req, res))
    app.get('/instances', (_req, res) => this.admit('reads', res) && sendJson(res, 200, { instances: [...this.instances.values()] }))
    app.get('/control/counts', (_req, res) => sendJson(res, 200, this.counts))
    app.put('/control/instances/:name', async (req, res) => await this.putInstance(req, res))
    app.delete('/control/instances/:name', (req, res) => {
      this.instances.delete(req.params.name!)
      sendJson(res, 200, {})
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

  /** Counts the call; answers 429 and gives back false when the second's rate is used up. */
  private admit (call: 'reads' | 'writes', res: Response): boolean {
    const at = Math.floor(Date.now() / 1_000)
    if (this.second.at !== at) this.second = { at, reads: 0, writes: 0 }
    this.counts[call]++
    this.second[call]++
    if (this.second[call] <= this.limits[call === 'reads' ? 'readsPerSecond' : 'writesPerSecond']) return true
    this.counts.refused++
    sendJson(res, 429, { error: 'over the rate' }, { 'retry-after': '1' })
    return false
  }

  private readObject (req: Request, res: Response): void {
    const object = this.objects.read(req.params.kind!, decodeURIComponent(req.params.name!))
    if (object === undefined) sendJson(res, 404, { error: 'no such object' })
    else sendJson(res, 200, object)
  }

  private async writeObject (req: Request, res: Response): Promise<void> {
    const body = await readBody(req, BODY_LIMIT)
    if (body.err) return sendJson(res, 413, { error: 'too large' })
    const { value, version, writeId } = JSON.parse(body.val.toString())
    if (JSON.stringify(value).length > VALUE_LIMIT) return sendJson(res, 413, { error: `value over ${VALUE_LIMIT} bytes` })
    const written = this.objects.write(req.params.kind!, decodeURIComponent(req.params.name!), value, version, writeId)
    if (typeof written === 'number') sendJson(res, 409, { error: 'version differs', version: written })
    else sendJson(res, 200, written)
  }

  private removeObject (req: Request, res: Response): void {
    const name = decodeURIComponent(req.params.name!)
    const removed = this.objects.remove(req.params.kind!, name, Number(req.query.version))
    if (removed) sendJson(res, 200, {})
    else sendJson(res, 409, { error: 'version differs', version: this.objects.read(req.params.kind!, name)?.version ?? 0 })
  }

  private listObjects (req: Request, res: Response): void {
    const { prefix = '', after = '', limit = '500' } = req.query as Record<string, string>
    sendJson(res, 200, { objects: this.objects.list(req.params.kind!, prefix, after, Number(limit)) })
  }

  private watchObjects (req: Request, res: Response): void {
    this.counts.watches++
    const kind = req.params.kind!
    const since = Number(req.query.revision)
    const answer = (): boolean => {
      const { changed, deleted } = this.objects.changesSince(kind, since)
      if (since >= 0 && changed.length + deleted.length === 0) return false
      sendJson(res, 200, { revision: this.objects.revision, changed, deleted })
      return true
    }
    if (answer()) return
    const stop = (): void => {
      unlisten()
      clearTimeout(timer)
    }
    const unlisten = this.objects.onChange(() => answer() && stop())
    const timer = setTimeout(() => {
      stop()
      sendJson(res, 200, { revision: this.objects.revision, changed: [], deleted: [] })
    }, Number(req.query.wait))
    res.on('close', stop)
  }

  private async putInstance (req: Request, res: Response): Promise<void> {
    const body = (await readBody(req, BODY_LIMIT)).unwrap()
    this.instances.set(req.params.name!, JSON.parse(body.toString()))
    sendJson(res, 200, {})
  }
}

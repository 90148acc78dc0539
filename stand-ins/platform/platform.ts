import { App, type Request, type Response } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { createAppServer } from '../../src/http/create-app-server.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import type { Instance } from '../../src/store/instance.js'
import { FaultPlan } from './fault-plan.js'
import { History } from './history.js'
import { ObjectTable } from './object-table.js'
import type { PlatformFaults } from './platform-faults.js'

const VALUE_LIMIT = 1_000_000 // bytes
const BODY_LIMIT = 2 * VALUE_LIMIT
const MS_PER_SECOND = 1_000

/** Options of the stand-in platform; rates in calls per second. */
interface PlatformOptions { readonly writesPerSecond?: number, readonly readsPerSecond?: number, readonly faults?: PlatformFaults }

type Call = 'reads' | 'writes'

type Handle = (req: Request, res: Response) => Promise<void> | void

/**
 * A stand-in for the platform: object API with conditional updates and watches, and the instance list.
 * It counts every call, refuses those above its rates, and simulates the faults set by POST /control/faults.
 */
export class Platform {
  readonly objects = new ObjectTable(Date.now)
  readonly instances = new History<ReadonlyMap<string, Instance>>(new Map())
  readonly counts = { reads: 0, writes: 0, watches: 0, refused: 0, failed: 0 }
  /** Calls by method and kind of object, such as `get chunk`. */
  private readonly byKind = new Map<string, number>()
  private readonly server: Server
  private plan: FaultPlan
  private second = { at: 0, reads: 0, writes: 0 }

  constructor (private readonly options: PlatformOptions = {}) {
    this.plan = new FaultPlan(options.faults ?? {})
    const app = new App()
    app.get('/objects/:kind/:name', this.checkCall('reads', (req, res) => this.readObject(req, res)))
    app.put('/objects/:kind/:name', this.checkCall('writes', async (req, res) => await this.writeObject(req, res)))
    app.delete('/objects/:kind/:name', this.checkCall('writes', (req, res) => this.removeObject(req, res)))
    app.get('/objects/:kind', this.checkCall('reads', (req, res) => this.listObjects(req, res)))
    app.get('/watch/:kind', this.checkCall('reads', (req, res) => this.watchObjects(req, res)))
    app.get('/instances', this.checkCall('reads', (_req, res) => this.listInstances(res)))
    app.get('/control/counts', (_req, res) => sendJson(res, 200, { ...this.counts, byKind: Object.fromEntries(this.byKind) }))
    app.post('/control/faults', async (req, res) => await this.setFaults(req, res))
    app.put('/control/instances/:name', async (req, res) => await this.putInstance(req, res))
    app.delete('/control/instances/:name', (req, res) => {
      this.updateInstances(instances => instances.delete(req.params.name!))
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

  /** Counts the call and applies outage, rate limits and slowness to it before `handle`. */
  private checkCall (call: Call, handle: Handle): Handle {
    return async (req, res) => {
      this.counts[call]++
      const kind = `${req.method!.toLowerCase()} ${req.params.kind ?? req.path}`
      this.byKind.set(kind, (this.byKind.get(kind) ?? 0) + 1)
      if (this.refuseInOutage(res) || this.refuseOverRate(call, res)) return
      const delay = this.plan.chooseDelay()
      if (delay > 0) await new Promise(resolve => setTimeout(resolve, delay))
      await handle(req, res)
    }
  }

  /** Fails the call during an outage; a silent outage leaves it unanswered. */
  private refuseInOutage (res: Response): boolean {
    const { outage } = this.plan.faults
    if (outage === undefined) return false
    this.counts.failed++
    if (outage === 'refused') sendJson(res, 503, { error: 'outage' })
    if (outage === 'reset') res.socket?.destroy()
    return true
  }

  /** Answers 429 once the rate of the current second is used up. */
  private refuseOverRate (call: Call, res: Response): boolean {
    const at = Math.floor(Date.now() / MS_PER_SECOND)
    if (this.second.at !== at) this.second = { at, reads: 0, writes: 0 }
    const { writesPerSecond = 400, readsPerSecond = 2_000 } = { ...this.options, ...this.plan.faults }
    if (++this.second[call] <= (call === 'reads' ? readsPerSecond : writesPerSecond)) return false
    this.counts.refused++
    sendJson(res, 429, { error: 'over the rate' }, { 'retry-after': '1' })
    return true
  }

  private readObject (req: Request, res: Response): void {
    const { kind, name } = readTarget(req)
    const age = this.plan.chooseReadAge()
    const object = age === 0 ? this.objects.read(kind, name) : this.objects.readAt(kind, name, Date.now() - age)
    if (object === undefined) sendJson(res, 404, { error: 'no such object' })
    else sendJson(res, 200, object)
  }

  private async writeObject (req: Request, res: Response): Promise<void> {
    const body = await readBody(req, BODY_LIMIT)
    if (body.err) return sendJson(res, 413, { error: 'too large' })
    const { value, version, writeId } = JSON.parse(body.val.toString())
    if (Buffer.byteLength(JSON.stringify(value)) > VALUE_LIMIT) return sendJson(res, 413, { error: `value over ${VALUE_LIMIT} bytes` })
    const { kind, name } = readTarget(req)
    this.applyWrite(res, () => {
      const written = this.objects.write(kind, name, value, version, writeId)
      return typeof written === 'number' ? { status: 409, body: { error: 'version differs', version: written } } : { status: 200, body: written }
    })
  }

  private removeObject (req: Request, res: Response): void {
    const { kind, name } = readTarget(req)
    this.applyWrite(res, () => {
      if (this.objects.remove(kind, name, Number(req.query.version))) return { status: 200, body: {} }
      return { status: 409, body: { error: 'version differs', version: this.objects.read(kind, name)?.version ?? 0 } }
    })
  }

  /** Applies a write now or later, and answers it unless a fault loses the reply. */
  private applyWrite (res: Response, run: () => { readonly status: number, readonly body: unknown }): void {
    const outcome = this.plan.chooseWriteOutcome()
    if (outcome !== 'normal') this.counts.failed++
    if (outcome === 'delayed') setTimeout(run, this.plan.chooseWriteDelay())
    const answer = outcome === 'delayed' ? undefined : run()
    if (outcome === 'normal') sendJson(res, answer!.status, answer!.body)
    else if (outcome !== 'delayed' || this.plan.faults.delayedWrites?.isSilent !== true) res.socket?.destroy()
  }

  private listObjects (req: Request, res: Response): void {
    const { prefix = '', after = '', limit = '500' } = req.query as Record<string, string>
    const age = this.plan.chooseReadAge()
    const { kind = '' } = req.params
    const objects = age === 0
      ? this.objects.list(kind, prefix, after, Number(limit) + 1)
      : this.objects.listAt(kind, prefix, after, Number(limit) + 1, Date.now() - age)
    sendJson(res, 200, { objects: objects.slice(0, Number(limit)), more: objects.length > Number(limit) })
  }

  private watchObjects (req: Request, res: Response): void {
    this.counts.watches++
    if (this.plan.faults.silentWatches === true) return
    const kind = req.params.kind!
    const since = Number(req.query.revision)
    const age = since < 0 ? this.plan.chooseReadAge() : 0
    if (age > 0) return sendJson(res, 200, { revision: -1, changed: this.objects.listAt(kind, '', '', Infinity, Date.now() - age), deleted: [] })
    const answer = (): boolean => {
      const { changed, deleted } = this.objects.changesSince(kind, since)
      if (since >= 0 && changed.length + deleted.length === 0) return false
      sendJson(res, 200, { revision: this.objects.revision, changed, deleted })
      return true
    }
    if (answer()) return
    const stop = (): void => {
      unsubscribe()
      clearTimeout(timer)
    }
    const unsubscribe = this.objects.onChange(kind, () => this.plan.faults.outage === undefined && answer() && stop())
    const timer = setTimeout(() => {
      stop()
      sendJson(res, 200, { revision: this.objects.revision, changed: [], deleted: [] })
    }, Number(req.query.wait))
    res.on('close', stop)
  }

  private listInstances (res: Response): void {
    const { instanceLag = 0 } = this.plan.faults
    const instances = instanceLag === 0 ? this.instances.latest : this.instances.readAt(Date.now() - instanceLag)
    sendJson(res, 200, { instances: [...instances.values()] })
  }

  private async setFaults (req: Request, res: Response): Promise<void> {
    this.plan = new FaultPlan(JSON.parse((await readBody(req, BODY_LIMIT)).unwrap().toString()))
    sendJson(res, 200, {})
  }

  private async putInstance (req: Request, res: Response): Promise<void> {
    const body = (await readBody(req, BODY_LIMIT)).unwrap()
    this.updateInstances(instances => instances.set(req.params.name!, JSON.parse(body.toString())))
    sendJson(res, 200, {})
  }

  private updateInstances (change: (instances: Map<string, Instance>) => void): void {
    const instances = new Map(this.instances.latest)
    change(instances)
    this.instances.put(instances, Date.now())
  }
}

function readTarget (req: Request): { readonly kind: string, readonly name: string } {
  return { kind: req.params.kind!, name: decodeURIComponent(req.params.name!) }
}

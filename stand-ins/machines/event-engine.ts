import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import { closeIncomplete } from './close-incomplete.js'
import { writeUnmarkedHead } from './write-unmarked-head.js'

const MAX_BODY = 5_000_000 // bytes
/** Time from the beginning of a run until a part of its prompt crashes the engine, ms. */
const CRASH_DELAY = 40
const REPORT_PATH = '/api/report'
/** Paths of requests that always fail. */
const IMPOSSIBLE = /\/impossible$/

/** One run of a request, as the engine logs it. */
interface EngineRun {
  readonly id: string
  readonly path: string
  /** Ids of the parts of its prompt. */
  readonly parts: readonly string[]
  /** The caller that the request names, and the key that it should not have. */
  readonly caller: string | undefined
  readonly key: string | undefined
  readonly resumedAfter: number | undefined
  /** Id of the attempt that brought the first event, as the caller names it. */
  readonly resumes: string | undefined
  /** Start of the run, by the clock of the options. */
  readonly at: number
  /** Number of events sent. */
  events: number
  outcome: 'running' | 'whole' | 'closed' | 'broken'
}

interface EventEngineOptions {
  readonly id: string
  /** Version of its software as it registers it, `v1` by default. */
  readonly version?: unknown
  /** Requests that run at once; others are refused as not executed. */
  readonly slots?: number
  readonly events?: number
  /** Time between two events, ms. */
  readonly pause?: number
  /** Of a request by its path: its events, `events` by default, and whether they come as one answer at the end, no stream. */
  readonly plan?: (path: string) => { readonly events?: number, readonly isWhole?: boolean }
  /** Start of its process, Unix ms; now by default. */
  readonly startedAt?: number
  /** Whether the data of its events name its version. */
  readonly showsVersion?: boolean
  readonly now?: () => number
}

/** A stand-in for the users' model server: streams of numbered events, resumption, expected instances, and runs that break off. */
export class EventEngine {
  port = 0
  /** Start of its process, Unix ms. */
  readonly startedAt: number
  readonly runs: EngineRun[] = []
  /** Numbers of events after which the next runs break off, one number for each run. */
  breakPoints: number[] = []
  /** Number of next runs whose answers have neither a length nor chunks; one that breaks off resets its connection with the last bytes. */
  unmarkedRuns = 0
  /**
   * Whether the first send of each request is refused. The refusal is sent once more before the next answer on its connection, as servers may
   * answer twice.
   */
  refusesFirst = false
  /** Whether it refuses all requests as not executed. */
  isFull = false
  /** Whether its report states the start of its process. */
  reportsStart = true
  /** Time until it answers a request for its report, ms. */
  reportDelay = 0
  /** Whether it closes each connection behind its report. */
  closesReports = false
  /** Number of requests for its report. */
  reports = 0
  /** Status of the answers to requests for its report. */
  reportStatus = 200
  /** Factor by which the time between two events is longer. */
  slowdown = 1
  /** Returns whether a run with these parts of a prompt crashes the engine as it begins its answer. */
  crashes: (parts: readonly string[]) => boolean = () => false
  /** Called when a run has crashed the engine. */
  onCrash: () => void = () => {}
  private readonly server: Server = createServer((req, res) => { void this.handle(req, res) })
  private running = 0
  private readonly refused = new Set<string>()
  /** By connection: a refusal to be sent once more. */
  private readonly repeated = new Map<Socket, string>()
  /** Open answers whose end nothing but their connection marks. */
  private readonly unmarked = new Set<ServerResponse>()

  constructor (private readonly options: EventEngineOptions) {
    this.startedAt = options.startedAt ?? Date.now()
  }

  get id (): string {
    return this.options.id
  }

  get version (): unknown {
    return 'version' in this.options ? this.options.version : 'v1'
  }

  async start (port = 0): Promise<void> {
    this.port = await listen(this.server, '127.0.0.1', port)
  }

  /** Stops as a crashed process does. Answers whose end only their connection marks are reset, since a regular close is their end. */
  stop (): void {
    this.server.close()
    for (const res of this.unmarked) closeIncomplete(res, false)
    this.server.closeAllConnections()
  }

  /** Returns the data of event `n` of a request. */
  static buildEventData (path: string, n: number): string {
    return `${path} piece ${n}`
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { id, slots = 8, now = performance.now.bind(performance) } = this.options
    const body = await readBody(req, MAX_BODY)
    const { 'x-request-id': request, 'x-expect-instance': expected, 'last-event-id': resume } = req.headers
    if (body.err) return
    if (expected !== undefined && expected !== id) return sendJson(res, 421, {}, { 'x-instance-id': id, 'x-request-id': String(request) })
    this.repeatRefusal(res.socket!)
    if (req.url === REPORT_PATH) return await this.sendReport(res)
    if (this.refusesFirst && !this.refused.has(String(request))) return this.refuseFirst(String(request), res)
    if (this.isFull || this.running >= slots) return sendJson(res, 503, {}, { 'x-not-executed': '1', 'x-request-id': String(request) })
    if (IMPOSSIBLE.test(req.url!)) return sendJson(res, 422, {}, { 'x-request-id': String(request) })
    const run: EngineRun = { id: String(request), path: req.url!, parts: (readHeader(req, 'x-prompt-prefix') ?? '').split(',').map(part => part.split(':')[0]!), caller: readHeader(req, 'x-tenant'), key: readHeader(req, 'x-api-key'), resumedAfter: resume === undefined ? undefined : Number(resume), resumes: readHeader(req, 'resumes'), at: now(), events: 0, outcome: 'running' }
    this.runs.push(run)
    this.running++
    res.on('close', () => {
      this.running--
      if (run.outcome === 'running') run.outcome = 'closed'
    })
    if (this.crashes(run.parts)) setTimeout(() => this.crash(run), CRASH_DELAY)
    if (this.options.plan?.(run.path).isWhole === true) return await this.answerWhole(run, res)
    const isMarked = this.unmarkedRuns === 0
    const headers = { 'content-type': 'text/event-stream', 'x-request-id': run.id, 'x-response-stamp': `stamp-${id}` }
    if (isMarked) res.writeHead(200, headers)
    else writeUnmarkedHead(res, 200, headers)
    if (!isMarked) {
      this.unmarkedRuns--
      this.unmarked.add(res)
      res.on('close', () => this.unmarked.delete(res))
    }
    await this.stream(run, res, isMarked)
  }

  private async sendReport (res: ServerResponse): Promise<void> {
    this.reports++
    if (this.reportDelay > 0) await new Promise(resolve => setTimeout(resolve, this.reportDelay))
    sendJson(res, this.reportStatus, { num_running: this.running, ...this.reportsStart && { born: this.startedAt } }, this.closesReports ? { connection: 'close' } : {})
  }

  private refuseFirst (request: string, res: ServerResponse): void {
    const refusal = `HTTP/1.1 503 Service Unavailable\r\nx-request-id: ${request}\r\nx-not-executed: 1\r\ncontent-length: 2\r\n\r\n{}`
    this.refused.add(request)
    this.repeated.set(res.socket!, refusal)
    sendJson(res, 503, {}, { 'x-not-executed': '1', 'x-request-id': request })
  }

  private repeatRefusal (socket: Socket): void {
    const refusal = this.repeated.get(socket)
    if (refusal !== undefined) socket.write(refusal)
    this.repeated.delete(socket)
  }

  private crash (run: EngineRun): void {
    if (run.outcome !== 'running') return
    this.stop()
    this.onCrash()
  }

  private countEvents (path: string): number {
    return this.options.plan?.(path).events ?? this.options.events ?? 6
  }

  private async answerWhole (run: EngineRun, res: ServerResponse): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, this.countEvents(run.path) * (this.options.pause ?? 10)))
    if (run.outcome !== 'running') return
    run.outcome = 'whole'
    sendJson(res, 200, {}, { 'x-request-id': run.id, 'x-response-stamp': `stamp-${this.id}` })
  }

  private async stream (run: EngineRun, res: ServerResponse, isMarked: boolean): Promise<void> {
    const { pause = 10, showsVersion = false } = this.options
    const mark = showsVersion ? ` of ${String(this.version)}` : ''
    const events = this.countEvents(run.path)
    const breakAfter = this.breakPoints.shift()
    for (let n = (run.resumedAfter ?? 0) + 1; n <= events; n++) {
      await new Promise(resolve => setTimeout(resolve, pause * this.slowdown))
      if (run.outcome !== 'running') return
      if (run.events === breakAfter) {
        run.outcome = 'broken'
        // Where the reset alone shows the break, the bytes end with a whole event.
        res.write(isMarked ? `id: ${n}\nda` : `id: ${n}\ndata: ${EventEngine.buildEventData(run.path, n)}\n\n`, () => closeIncomplete(res, isMarked))
        return
      }
      res.write(`id: ${n}\ndata: ${EventEngine.buildEventData(run.path, n)}${mark}\n\n`)
      run.events++
    }
    run.outcome = 'whole'
    res.end()
  }
}

function readHeader ({ headers }: IncomingMessage, name: string): string | undefined {
  return headers[name] === undefined ? undefined : String(headers[name])
}

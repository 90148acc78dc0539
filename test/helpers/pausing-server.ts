import { createServer, type ServerResponse } from 'node:http'
import { listen } from '../../src/http/listen.js'
import type { Clock } from '../../src/kernel/clock.js'
import { SystemClock } from '../../src/kernel/system-clock.js'

/** Events of a whole stream, and the parts of a whole answer. */
const PIECES = 12
/** Time between two pieces by default, ms. */
const INTERVAL = 15
const HEAD = { 'x-request-id': '' }
const REPORT_PATH = '/api/report'

/** One request at a server that began to work on it. Times in ms of the server's clock. */
export interface PausedRun {
  readonly path: string
  readonly server: number
  /** Pieces after which it began. */
  readonly after: number
  readonly from: number
  /** When it had sent all, or when its connection closed; undefined while it works. */
  until?: number
}

interface PausingServerOptions {
  readonly server: number
  readonly runs: PausedRun[]
  /** Pieces after which the first run of each path falls silent, the same for all or by the path; -1 before its head. */
  readonly pauseAfter: number | ((path: string) => number | undefined)
  /** Pieces after which the first run of a path breaks off; it doesn't by default. */
  readonly breakAfter?: (path: string) => number | undefined
  /** Time between two pieces, ms. */
  readonly interval?: number
  /** How long it is silent, ms. */
  readonly pause: number
  /** Whether the server refuses a request as full. */
  readonly isFull: (path: string) => boolean
  /** Start that its report states, Unix ms. */
  readonly startedAt?: number
  /** The system's if omitted. */
  readonly clock?: Clock
}

function buildPiece (kind: string, n: number): string {
  return kind === 'stream' ? `id: ${n}\ndata: piece ${n}\n\n` : `piece ${n}\n`
}

/** The body of a whole answer; paths of streams begin with `/stream`. */
export function buildWholeBody (path: string): string {
  return Array.from({ length: PIECES }, (_, i) => buildPiece(path.split('/')[1]!, i + 1)).join('')
}

/** A server that answers with a few pieces. The first run of each path at any server with the same `runs` is silent for a while. */
export async function startPausingServer ({ server, runs, pauseAfter, breakAfter = () => undefined, interval = INTERVAL, pause, isFull, startedAt = Date.now(), clock = new SystemClock() }: PausingServerOptions): Promise<{ readonly port: number, close: () => void }> {
  const http = createServer((req, res) => {
    const path = req.url!
    req.resume()
    if (path === REPORT_PATH) return res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ num_running: 0, born: startedAt }))
    const id = { ...HEAD, 'x-request-id': String(req.headers['x-request-id']) }
    if (isFull(path)) return res.writeHead(503, { ...id, 'x-not-executed': '1', 'content-length': 0 }).end()
    const run: PausedRun = { path, server, after: Number(req.headers['last-event-id'] ?? 0), from: clock.now() }
    const isFirst = runs.every(other => other.path !== path)
    const findPause = typeof pauseAfter === 'number' ? () => pauseAfter : pauseAfter
    runs.push(run)
    res.once('close', () => { run.until ??= clock.now() })
    void answer(res, { run, id, pauseAfter: isFirst ? findPause(path) : undefined, breakAfter: isFirst ? breakAfter(path) : undefined, interval, pause, clock })
  })
  return {
    port: await listen(http, '127.0.0.1', 0),
    close: () => {
      http.close()
      http.closeAllConnections()
    }
  }
}

interface Answer { readonly run: PausedRun, readonly id: Readonly<Record<string, string>>, readonly pauseAfter: number | undefined, readonly breakAfter: number | undefined, readonly interval: number, readonly pause: number, readonly clock: Clock }

async function answer (res: ServerResponse, { run, id, pauseAfter, breakAfter, interval, pause, clock }: Answer): Promise<void> {
  const kind = run.path.split('/')[1]!
  const frame = kind === 'stream' ? { 'content-type': 'text/event-stream' } : { 'content-type': 'text/plain', 'content-length': buildWholeBody(run.path).length }
  if (pauseAfter === -1) await wait(clock, pause)
  res.writeHead(200, { ...id, ...frame })
  res.flushHeaders()
  for (let n = run.after; n < PIECES && !res.destroyed; n++) {
    await wait(clock, n === pauseAfter ? pause : interval)
    if (n === breakAfter) res.destroy()
    if (!res.destroyed) res.write(buildPiece(kind, n + 1))
  }
  if (!res.destroyed) res.end()
}

async function wait (clock: Clock, time: number): Promise<void> {
  if (time !== Infinity) await new Promise<void>(resolve => { clock.after(time, resolve) })
  else await new Promise(() => {})
}

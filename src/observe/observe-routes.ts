import type { Request, Response } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { HttpRoute } from '../entry/http-route.js'
import { routePoint } from '../entry/route-point.js'
import { sendJson } from '../http/send-json.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { Metrics } from './metrics.js'
import { Timeline } from './timeline/timeline.js'

const MICROS_PER_SECOND = 1_000_000

/** Serves the metrics of this daemon, and its events for the timeline. */
@scoped(Lifecycle.ContainerScoped)
export class ObserveRoutes implements Part {
  readonly extensions = ([
    { method: 'get', path: '/metrics', access: 'public', handle: (_req, res) => this.showMetrics(res) },
    { method: 'get', path: '/operator/timeline', access: 'operator', handle: (req, res) => this.showTimeline(req, res) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(Timeline) private readonly timeline: Timeline
  ) {
    metrics.gauge('process_cpu_seconds_total', () => readCpuSeconds())
    metrics.gauge('process_resident_bytes', () => process.memoryUsage.rss())
    metrics.gauge('process_heap_bytes', () => process.memoryUsage().heapUsed)
  }

  private showMetrics (res: Response): void {
    res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
    res.end(this.metrics.write())
  }

  private showTimeline (req: Request, res: Response): void {
    const { request, job, around } = req.query as Record<string, string | undefined>
    sendJson(res, 200, { events: this.timeline.find({ request, job, around: around !== undefined }) })
  }
}

function readCpuSeconds (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROS_PER_SECOND
}

partRegistry.register({ name: 'observe routes', part: ObserveRoutes })

import { planArrivals } from '../src/load/plan-arrivals.js'
import { runLoad } from '../src/load/run-load.js'
import { summarizeLoad } from '../src/load/summarize-load.js'
import { writeCallers } from './write-callers.js'
import { startBenchFleet } from './bench-fleet.js'
import { readEngineWork } from './read-engine-work.js'
import { readMetrics } from './read-metrics.js'
import type { SlopeResult } from './slope-result.js'
import type { SlopeStep } from './slope-step.js'
import { submitBacklog } from './submit-backlog.js'

const MEASURE_TIME = 10_000
const SETTLE_TIME = 4_000
const MS_PER_SECOND = 1_000
const BYTES_PER_MB = 1_000_000
const ITEM_TOKENS = 4
const ENGINES_PER_PROCESS = 10

type Usage = Awaited<ReturnType<typeof readUsage>>

/** Starts a fleet of the step's size, waits until it settles, and measures its resource usage over ten seconds. */
export async function runSlopeStep (step: SlopeStep): Promise<SlopeResult> {
  const fleet = await startBenchFleet({ engines: step.servers, daemons: step.daemons }, { folder: writeCallers(step.callers), enginesPerProcess: ENGINES_PER_PROCESS })
  try {
    await new Promise(resolve => setTimeout(resolve, SETTLE_TIME))
    const urls = fleet.daemons.map(daemon => fleet.url(daemon))
    const before = await readUsage(urls, fleet)
    const start = Date.now()
    if (step.jobs > 0) await submitBacklog(fleet, { jobs: step.jobs, itemTokens: ITEM_TOKENS, seed: 1, itemsPerJob: step.itemsPerJob })
    const arrivals = planArrivals({ seed: 1, duration: MEASURE_TIME, rate: step.rate, burst: { every: 0, length: 0, rate: 0 }, model: 'berth-assistant', streamed: 1, tokens: [step.tokens, step.tokens], promptWords: [10, 40], callers: ['quay-desk-token'] })
    const load = summarizeLoad(await runLoad(arrivals, { urls: () => urls, model: 'berth-assistant' }))
    await new Promise(resolve => setTimeout(resolve, Math.max(0, start + MEASURE_TIME - Date.now())))
    const seconds = (Date.now() - start) / MS_PER_SECOND
    const after = await readUsage(urls, fleet)
    const work = await readEngineWork(fleet, start)
    return { ...step, seconds, ...compareUsage(before, after, seconds, step.daemons), answered: load.answered, itemsDone: work.batchFinished }
  } finally {
    await fleet.stop()
  }
}

async function readUsage (urls: readonly string[], fleet: { control: (method: 'GET', path: string) => Promise<any> }): Promise<{ cpu: number, resident: number, heap: number, sent: Record<string, number>, calls: Record<string, number> & { byKind: Record<string, number> } }> {
  const samples = (await Promise.all(urls.map(readMetrics))).flat()
  const add = (name: string): number => samples.filter(sample => sample.name === name).reduce((sum, { value }) => sum + value, 0)
  const sent: Record<string, number> = {}
  for (const { name, labels, value } of samples) {
    const type = /direction="sent",type="([^"]*)"/.exec(labels)?.[1]
    if (name === 'peer_bytes_total' && type !== undefined) sent[type] = (sent[type] ?? 0) + value
  }
  return { cpu: add('process_cpu_seconds_total'), resident: add('process_resident_bytes'), heap: add('process_heap_bytes'), sent, calls: await fleet.control('GET', '/control/counts') }
}

function compareUsage (before: Usage, after: Usage, seconds: number, daemons: number): Pick<SlopeResult, 'core' | 'residentMb' | 'heapMb' | 'peerBytes' | 'platformReads' | 'platformWrites' | 'platformWatches' | 'platformCalls'> {
  const rate = (call: string): number => ((after.calls[call] ?? 0) - (before.calls[call] ?? 0)) / seconds
  return {
    core: (after.cpu - before.cpu) / seconds / daemons,
    residentMb: after.resident / BYTES_PER_MB / daemons,
    heapMb: after.heap / BYTES_PER_MB / daemons,
    peerBytes: Object.fromEntries(Object.entries(after.sent).map(([type, bytes]) => [type, (bytes - (before.sent[type] ?? 0)) / seconds / daemons])),
    platformReads: rate('reads'),
    platformWrites: rate('writes'),
    platformWatches: rate('watches'),
    platformCalls: Object.fromEntries(Object.entries(after.calls.byKind).map(([kind, count]) => [kind, (count - (before.calls.byKind[kind] ?? 0)) / seconds]))
  }
}

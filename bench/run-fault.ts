import type { LoadOutcome } from '../src/load/load-outcome.js'
import type { LoadPlan } from '../src/load/load-plan.js'
import { planArrivals } from '../src/load/plan-arrivals.js'
import { runLoad } from '../src/load/run-load.js'
import { summarizeLoad } from '../src/load/summarize-load.js'
import type { Fleet } from '../harness/fleet.js'
import { AddressBook } from './address-book.js'
import { applyFault } from './apply-fault.js'
import { startBenchFleet } from './bench-fleet.js'
import type { Fault } from './fault.js'
import type { FaultResult } from './fault-result.js'
import { readEngineWork } from './read-engine-work.js'
import type { Site } from './site.js'
import { submitBacklog } from './submit-backlog.js'

const FAULT_AT = 6_000
const TIME_AFTER_FAULT = 14_000
const RATE = 80
const MAX_ATTEMPTS = 5
const BACKLOG_JOBS = 2
const SLOW_FACTOR = 2

/** Applies one fault under constant online load and a batch backlog, and measures its effect on callers. */
export async function runFault (site: Site, fault: Fault): Promise<FaultResult> {
  const fleet = await startBenchFleet(site)
  const book = new AddressBook(fleet)
  try {
    await submitBacklog(fleet, { jobs: BACKLOG_JOBS, itemTokens: site.itemTokens, seed: site.plan.seed })
    const lasting = fault.type === 'platform out' ? fault.lasting : 0
    const plan: LoadPlan = { ...site.plan, duration: FAULT_AT + lasting + TIME_AFTER_FAULT, rate: RATE, burst: { every: 0, length: 0, rate: 0 } }
    const since = Date.now()
    const before: { runs: number } = { runs: 0 }
    const ended = new Promise<() => Promise<void>>((resolve, reject) => {
      setTimeout(() => { void beginFault(fleet, fault, since, before).then(resolve, reject) }, FAULT_AT)
    })
    const outcomes = await runLoad(planArrivals(plan), { urls: () => book.urls, model: plan.model, maxAttempts: MAX_ATTEMPTS })
    await (await ended)()
    const after = await readEngineWork(fleet, since)
    return summarizeFault(fault.type, outcomes, before.runs + after.onlineRuns)
  } finally {
    book.close()
    await fleet.stop()
  }
}

/** Applies the fault. A killed engine loses its log, so the runs of engines about to be killed are counted first. */
async function beginFault (fleet: Fleet, fault: Fault, since: number, before: { runs: number }): Promise<() => Promise<void>> {
  const killCount = fault.type === 'engine killed' ? 1 : fault.type === 'half the engines killed' ? fleet.servers.length / 2 : 0
  for (const server of fleet.servers.slice(0, killCount)) {
    const runs = await fleet.readLog(server)
    before.runs += runs.filter(({ at, requestId }) => at >= since && requestId.startsWith('load-')).length
  }
  return await applyFault(fleet, fault)
}

function summarizeFault (fault: string, outcomes: readonly LoadOutcome[], runs: number): FaultResult {
  const baseline = summarizeLoad(outcomes.filter(({ at }) => at < FAULT_AT - 1_000))
  const isBad = ({ outcome, firstToken = Infinity }: LoadOutcome): boolean => outcome !== 'answered' || firstToken > SLOW_FACTOR * baseline.firstToken.p99
  const bad = outcomes.filter(outcome => outcome.at >= FAULT_AT && isBad(outcome))
  const all = summarizeLoad(outcomes)
  return {
    fault,
    asked: all.asked,
    answered: all.answered,
    refused: all.refused,
    lost: all.lost + all.cut,
    untilGood: Math.max(0, ...bad.map(({ at }) => at - FAULT_AT)),
    bad: bad.length,
    sendsOverRequests: runs / all.asked
  }
}

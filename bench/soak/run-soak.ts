import { applyTrouble } from './apply-trouble.js'
import { countDaemons } from './count-daemons.js'
import { planTroubles } from './plan-troubles.js'
import { SoakCallers } from './soak-callers.js'
import { SoakFleet } from './soak-fleet.js'
import { SoakJobs } from './soak-jobs.js'
import type { SoakRecord } from './soak-record.js'
import { soakSize } from './soak-size.js'
import { Standstills } from './standstills.js'

/** The record of a soak and the log lines of its daemons. */
interface SoakRun { readonly record: SoakRecord, readonly lines: readonly string[] }

/** Applies the troubles of a seed to a fleet of processes under load. */
export async function runSoak (seed: number): Promise<SoakRun> {
  const planned = planTroubles(seed)
  const soak = new SoakFleet(countDaemons(seed), planned.some(({ type }) => type === 'part crashes'))
  const callers = new SoakCallers(soak)
  const jobs = new SoakJobs(soak)
  const standstills = new Standstills(() => soak.now())
  let calmFrom = 0
  let endedAt = 0
  try {
    await soak.start()
    const loadStartedAt = soak.now()
    const end = loadStartedAt + soakSize.window + soakSize.tail
    const troubles = planned.map(async trouble => {
      await new Promise(resolve => setTimeout(resolve, loadStartedAt + trouble.at - soak.now()))
      await applyTrouble(soak, trouble)
    })
    await Promise.all([callers.sendAll(end), jobs.submitAll(end), ...troubles])
    await soak.waitForEngines()
    calmFrom = soak.now()
    await jobs.readAll(calmFrom + soakSize.finishBound)
    endedAt = soak.now()
    await jobs.readEverywhere()
  } finally {
    standstills.stop()
    await callers.close()
    await soak.stop()
  }
  const engines = [...soak.fleet.engines, ...soak.stoppedEngines]
  const runs = engines.flatMap(({ id: engine, version, runs }) => runs.map(run => ({ ...run, engine, version: String(version) })))
  const { versions, leaving, harmed, resets, exits, lines } = soak
  return { record: { requests: callers.requests, runs, jobs: jobs.jobs, versions, leaving, harmed, resets, standstills: standstills.all, exits, calmFrom, endedAt }, lines }
}

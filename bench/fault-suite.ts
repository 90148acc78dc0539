import type { Fault } from './fault.js'
import type { FaultResult } from './fault-result.js'
import { runFault } from './run-fault.js'
import type { Site } from './site.js'

const FAULTS: readonly Fault[] = [
  { type: 'engine killed' },
  { type: 'engine frozen' },
  { type: 'daemon killed' },
  { type: 'half the engines killed' },
  { type: 'platform out', lasting: 60_000 }
]

/** Runs every fault, or only the one given, each on a new fleet. */
export async function runFaultSuite (site: Site, log: (sentence: string) => void, only?: string): Promise<readonly FaultResult[]> {
  const results: FaultResult[] = []
  for (const fault of FAULTS.filter(({ type }) => only === undefined || type === only)) {
    const result = await runFault(site, fault)
    results.push(result)
    log(`${site.name}, ${fault.type}: ${JSON.stringify(result)}`)
  }
  return results
}

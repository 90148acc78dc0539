import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import type { FaultResult } from './fault-result.js'
import type { OverloadResult } from './overload-result.js'
import type { PolicyReport } from './policy-report.js'
import type { Ratio } from './ratio.js'

/** The bounds in bench/bounds.yaml: ratios within one run, and the time to a refusal in ms. */
interface Bounds {
  readonly policies: {
    readonly firstTokenP99: number
    readonly firstTokenP999: number
    readonly betweenTokensP99: number
    readonly batchOverIdle: number
  }
  readonly faults: { readonly lost: number, readonly sendsOverRequests: number }
  readonly overload: { readonly goodputOverPeak: number, readonly refusedWithin: number }
}

/** Returns one line for each bound that the reports exceed, with the measured value. */
export function checkBounds ({ policies = [], faults = [], overloads = [] }: {
  readonly policies?: readonly PolicyReport[]
  readonly faults?: readonly FaultResult[]
  readonly overloads?: readonly OverloadResult[]
}, file = 'bench/bounds.yaml'): readonly string[] {
  const bounds = parse(readFileSync(file, 'utf8')) as Bounds
  return [
    ...policies.flatMap(report => checkPolicies(report, bounds.policies)),
    ...faults.flatMap(result => checkFault(result, bounds.faults)),
    ...overloads.flatMap(({ peak, goodput, refusedWithin }) => [
      ...checkMost('overload: peak over goodput', peak / goodput, 1 / bounds.overload.goodputOverPeak),
      ...checkMost('overload: ms to a refusal, median', refusedWithin, bounds.overload.refusedWithin)
    ])
  ]
}

function checkPolicies ({ site, results, idleCapacity, harm }: PolicyReport, bounds: Bounds['policies']): readonly string[] {
  const { batchRate } = results.find(({ letter }) => letter === 'e')!
  const current = harm.find(({ letter }) => letter === 'e')!
  return [
    ...checkRatio(`${site}: first token p99 over no batch`, current.firstTokenP99, bounds.firstTokenP99),
    ...checkRatio(`${site}: first token p99.9 over no batch`, current.firstTokenP999, bounds.firstTokenP999),
    ...checkRatio(`${site}: between tokens p99 over no batch`, current.betweenTokensP99, bounds.betweenTokensP99),
    ...checkMost(`${site}: idle capacity over batch`, idleCapacity / batchRate, 1 / bounds.batchOverIdle)
  ]
}

/** Compares the measured value with the bound; the interval only shows whether more repeats could change the verdict. */
function checkRatio (what: string, { value, low, high }: Ratio, bound: number): readonly string[] {
  const verdict = low > bound ? 'beyond chance' : 'within chance: repeat more often'
  return checkMost(`${what} (95 %: ${low.toFixed(3)} to ${high.toFixed(3)}, ${verdict})`, value, bound)
}

function checkFault ({ fault, lost, sendsOverRequests }: FaultResult, bounds: Bounds['faults']): readonly string[] {
  return [
    ...checkMost(`${fault}: lost`, lost, bounds.lost),
    ...checkMost(`${fault}: sends over requests`, sendsOverRequests, bounds.sendsOverRequests)
  ]
}

function checkMost (what: string, measured: number, bound: number): readonly string[] {
  return measured <= bound ? [] : [`${what}: ${measured.toFixed(3)}, bound ${bound.toFixed(3)}`]
}

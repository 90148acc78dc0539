import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import type { FaultResult } from './fault-result.js'
import type { PolicyReport } from './policy-report.js'

/** The bounds of bench/bounds.yaml: ratios within one run, never absolute times. */
interface Bounds {
  readonly policies: {
    readonly firstTokenP99: number
    readonly firstTokenP999: number
    readonly betweenTokensP99: number
    readonly batchOverIdle: number
  }
  readonly faults: { readonly lost: number, readonly sendsOverRequests: number }
}

/** Every bound that the reports break, each with what was measured. */
export function checkBounds (policies: readonly PolicyReport[], faults: readonly FaultResult[], file = 'bench/bounds.yaml'): readonly string[] {
  const bounds = parse(readFileSync(file, 'utf8')) as Bounds
  return [
    ...policies.flatMap(report => checkPolicies(report, bounds.policies)),
    ...faults.flatMap(result => checkFault(result, bounds.faults))
  ]
}

function checkPolicies ({ site, results, idleCapacity }: PolicyReport, bounds: Bounds['policies']): readonly string[] {
  const alone = results.find(({ letter }) => letter === 'a')!.load
  const ours = results.find(({ letter }) => letter === 'e')!
  return [
    ...checkMost(`${site}: first token p99 over no batch`, ours.load.firstToken.p99 / alone.firstToken.p99, bounds.firstTokenP99),
    ...checkMost(`${site}: first token p99.9 over no batch`, ours.load.firstToken.p999 / alone.firstToken.p999, bounds.firstTokenP999),
    ...checkMost(`${site}: between tokens p99 over no batch`, ours.load.betweenTokens.p99 / alone.betweenTokens.p99, bounds.betweenTokensP99),
    ...checkMost(`${site}: idle capacity over batch`, idleCapacity / ours.batchRate, 1 / bounds.batchOverIdle)
  ]
}

function checkFault ({ fault, lost, sendsOverRequests }: FaultResult, bounds: Bounds['faults']): readonly string[] {
  return [
    ...checkMost(`${fault}: lost`, lost, bounds.lost),
    ...checkMost(`${fault}: sends over requests`, sendsOverRequests, bounds.sendsOverRequests)
  ]
}

function checkMost (what: string, measured: number, most: number): readonly string[] {
  return measured <= most ? [] : [`${what}: ${measured.toFixed(3)}, bound ${most.toFixed(3)}`]
}

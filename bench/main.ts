import { mkdirSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { buildReportPage } from './build-report-page.js'
import { checkBounds } from './check-bounds.js'
import type { DueReport } from './due/due-report.js'
import { runDueSuite } from './due/due-suite.js'
import type { OverloadResult } from './overload-result.js'
import { runOverload } from './run-overload.js'
import { runFaultSuite } from './fault-suite.js'
import type { FaultResult } from './fault-result.js'
import { runPolicySuite } from './policy-suite.js'
import type { PolicyReport } from './policy-report.js'
import { showOnlineImpact } from './show-online-impact.js'
import { runSlopeSuite } from './slope-suite.js'
import { sites } from './sites.js'

const OUT = 'bench/out'
const USAGE = `npm run bench -- [--suite policies|faults|overload|slopes|due]… [--fault NAME] [--line NAME]… [--size NUMBER]… [--runs NUMBER] [--site NAME] [--policy LETTERS] [--repeat N] [--check]
  default suites: policies and faults; --repeat runs each policy N times, which narrows the intervals;
  --check exits with 1 when a bound in bench/bounds.yaml is exceeded`

function writeLine (sentence: string): void {
  console.log(`bench: ${sentence}`)
}

async function runBench (): Promise<number> {
  const { values } = parseArgs({
    options: { suite: { type: 'string', multiple: true, default: ['policies', 'faults'] }, site: { type: 'string' }, policy: { type: 'string', default: 'abcde' }, repeat: { type: 'string', default: '1' }, line: { type: 'string', multiple: true }, size: { type: 'string', multiple: true }, runs: { type: 'string', default: '1' }, fault: { type: 'string' }, check: { type: 'boolean', default: false }, help: { type: 'boolean', default: false } }
  })
  if (values.help) {
    console.log(USAGE)
    return 0
  }
  const selectedSites = sites.filter(({ name }) => values.site === undefined || values.site === name)
  const policies: PolicyReport[] = []
  const faults: FaultResult[] = []
  const overloads: OverloadResult[] = []
  const due: DueReport[] = []
  if (values.suite.includes('policies')) for (const site of selectedSites) policies.push(await runPolicySuite(site, writeLine, { letters: values.policy, repeats: Number(values.repeat) }))
  if (values.suite.includes('faults')) faults.push(...await runFaultSuite(selectedSites[0]!, writeLine, values.fault))
  if (values.suite.includes('overload')) overloads.push(await runOverload())
  for (const { peak, goodput, refusedWithin, refusals } of overloads) writeLine(`overload: ${JSON.stringify({ peak, goodput, refusedWithin, refusals: refusals.length })}`)
  if (values.suite.includes('due')) due.push(...runDueSuite(writeLine))
  mkdirSync(OUT, { recursive: true })
  if (values.suite.includes('slopes')) writeFileSync(`${OUT}/slopes.json`, JSON.stringify(await runSlopeSuite(writeLine, { lines: values.line, sizes: values.size?.map(Number), runs: Number(values.runs) }), null, 2))
  writeFileSync(`${OUT}/report.json`, JSON.stringify({ policies, faults, overloads, due }, null, 2))
  writeFileSync(`${OUT}/report.html`, buildReportPage({ policies, faults, due }))
  for (const report of policies) for (const line of showOnlineImpact(report)) writeLine(line)
  const broken = checkBounds({ policies, faults, overloads })
  for (const line of broken) writeLine(`bound broken: ${line}`)
  return values.check && broken.length > 0 ? 1 : 0
}

void runBench().then(code => process.exit(code), error => {
  console.error(error)
  process.exit(1)
})

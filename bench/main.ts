import { mkdirSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { runPolicySuite } from './policy-suite.js'
import { sites } from './sites.js'

const OUT = 'bench/out'

function say (sentence: string): void {
  console.log(`bench: ${sentence}`)
}

async function main (): Promise<number> {
  const { values } = parseArgs({ options: { site: { type: 'string' } } })
  mkdirSync(OUT, { recursive: true })
  const policyReports = []
  for (const site of sites.filter(({ name }) => values.site === undefined || values.site === name)) policyReports.push(await runPolicySuite(site, say))
  writeFileSync(`${OUT}/policies.json`, JSON.stringify(policyReports, null, 2))
  return 0
}

void main().then(code => process.exit(code), error => {
  console.error(error)
  process.exit(1)
})

import { mkdirSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'

const OUT = 'bench/out'
/** Findings printed for each seed; all of them are written to its file. */
const MAX_PRINTED = 12

/** The result of one seed. */
interface SeedOutcome {
  /** One sentence for each violated guarantee. */
  readonly findings: readonly string[]
  /** Written to the seed's file together with the findings. */
  readonly kept: Readonly<Record<string, unknown>>
  readonly summary: string
  /** Log lines, written to a file only if there are findings. */
  readonly lines?: readonly string[]
}

interface SeedsOptions {
  /** Prefix of the files in `bench/out` and of the printed lines. */
  readonly name: string
  readonly usage: string
  readonly run: (seed: number) => Promise<SeedOutcome>
}

/** Runs the seeds given on the command line, writes their records and exits the process, with 1 if there are findings. */
export function runSeeds (options: SeedsOptions): void {
  void runAll(options).then(code => process.exit(code), error => {
    console.error(error)
    process.exit(1)
  })
}

async function runAll ({ name, usage, run }: SeedsOptions): Promise<number> {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, count: { type: 'string', default: '1' }, help: { type: 'boolean', default: false } } })
  if (values.help) {
    console.log(usage)
    return 0
  }
  mkdirSync(OUT, { recursive: true })
  let broken = 0
  for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.count); seed++) {
    const { findings, kept, summary, lines } = await run(seed)
    if (findings.length > 0) broken++
    if (findings.length > 0 && lines !== undefined) writeFileSync(`${OUT}/${name}-${seed}.log`, lines.join('\n'))
    writeFileSync(`${OUT}/${name}-${seed}.json`, JSON.stringify({ findings, ...kept }, null, 1))
    console.log(`${name} ${seed}: ${findings.length === 0 ? 'every promise held' : `${findings.length} BROKEN`}; ${summary}`)
    for (const finding of findings.slice(0, MAX_PRINTED)) console.log(`  ${finding}`)
  }
  return broken > 0 ? 1 : 0
}

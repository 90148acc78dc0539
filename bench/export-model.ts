import { engineOptions } from './engine-options.js'
import { defaultParameters } from '../stand-ins/engine/default-parameters.js'
import { runSite } from './policy/run-site.js'
import { sites } from './sites.js'

const LENGTH = 400_000
const SEEDS = [1, 2, 3]
const ITEM_PROMPTS = [300, 1_500]
/** Tokens of KV cache by item prompt: ample, just enough for all running sequences, and too few for all of them. */
const MEMORY = [{ 300: 40_000, 1500: 80_000 }, { 300: 9_000, 1500: 38_000 }, { 300: 6_000, 1500: 20_000 }] as const
/** Export times in ms: only a round trip to the engine, and one in which it also copies the blocks out. */
const VARIANTS = [{}, { exportTime: 1 }, { exportTime: 10 }, { elsewhere: true }, { elsewhere: true, exportTime: 1 }] as const

const readQuantile = (values: readonly number[], quantile: number): number => Float64Array.from(values).sort()[Math.floor(quantile * values.length)]!

// Compares the cost of preemption with and without export of KV cache, when online prompts evict the blocks of preempted items.
for (const site of sites) {
  for (const itemPrompt of ITEM_PROMPTS) {
    for (const memory of MEMORY) {
      const memoryTokens = memory[itemPrompt as keyof typeof memory]
      const base = SEEDS.map(seed => runSite(site, { type: 'none' }, { length: LENGTH, seed, memoryTokens }))
      for (const variant of VARIANTS) {
        const { exportTime, elsewhere = false }: { readonly exportTime?: number, readonly elsewhere?: boolean } = variant
        const runs = SEEDS.map(seed => runSite(site, { type: 'preempting' }, { length: LENGTH, seed, itemPrompt, memoryTokens, exportTime, elsewhere }))
        const add = (pick: 'batchTokens' | 'resumes' | 'prefilledAgain' | 'preemptions'): number => runs.reduce((sum, run) => sum + run[pick], 0)
        const showTail = (quantile: number): string => (readQuantile(runs.flatMap(run => run.firstToken), quantile) / readQuantile(base.flatMap(run => run.firstToken), quantile)).toFixed(3)
        const cost = exportTime === undefined ? engineOptions.prefillPerToken : defaultParameters.importPerToken
        console.log([
          site.name, `items of ${itemPrompt}`, `memory ${memoryTokens}`, `${exportTime === undefined ? 'resume only' : `export ${exportTime} ms`}${elsewhere ? ', at another server' : ''}`,
          `batch ${(add('batchTokens') / LENGTH / SEEDS.length * 1_000).toFixed(0)} tokens/s`,
          `${add('resumes')} resumes`, `${(add('prefilledAgain') / add('resumes')).toFixed(0)} tokens again each`,
          `${(100 * add('prefilledAgain') * cost / LENGTH / SEEDS.length).toFixed(2)} % of the time`,
          `first token p99 ${showTail(0.99)} p99.9 ${showTail(0.999)}`
        ].join(', '))
      }
    }
  }
}

import { Command, Option } from 'clipanion'
import * as t from 'typanion'
import type { LoadSummary } from '../load/load-summary.js'
import { planArrivals } from '../load/plan-arrivals.js'
import { runLoad } from '../load/run-load.js'
import { summarizeLoad } from '../load/summarize-load.js'
import { EntryCommand } from './entry-command.js'
import { exitCodes } from './exit-codes.js'

const MS_PER_SECOND = 1_000

const isNonNegative = t.cascade(t.isNumber(), [t.isAtLeast(0)])
const isPositiveInteger = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)])

/** Generates online load on a fleet and summarizes the outcome. */
export class LoadCommand extends EntryCommand {
  static override paths = [['load']]
  static override usage = Command.Usage({
    category: 'Testing',
    description: 'generate online load and measure the answers',
    details: 'Open loop from a seed, with bursts. Requests go to the addresses in /v1/addresses. Exit codes: 0 every request was answered or refused; 1 some were interrupted or lost; 2 wrong usage; 3 no daemon answered.',
    examples: [['20 requests per second for 10 s, with bursts of 100 per second', 'citronwheel load --model berth-assistant --rate 20 --burst 100 --seconds 10 --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  model = Option.String('--model', { required: true, description: 'the service to request' })
  rate = Option.String('--rate', '10', { validator: isNonNegative, description: 'requests per second' })
  burst = Option.String('--burst', '0', { validator: isNonNegative, description: 'requests per second during bursts (2 s of every 8); 0 for no bursts' })
  seconds = Option.String('--seconds', '10', { validator: isNonNegative, description: 'duration in seconds' })
  tokens = Option.String('--tokens', '32', { validator: isPositiveInteger, description: 'most tokens per answer' })
  seed = Option.String('--seed', '1', { validator: isPositiveInteger, description: 'random seed; the same seed generates the same requests' })

  async execute (): Promise<number> {
    const addresses = await this.client().call<{ addresses: readonly { url: string }[] }>('GET', '/v1/addresses')
    if (addresses.err) return this.showError(addresses.val)
    const urls = addresses.val.addresses.map(({ url }) => url)
    const rate = this.rate
    const outcomes = await runLoad(planArrivals({
      seed: this.seed,
      duration: this.seconds * MS_PER_SECOND,
      rate,
      burst: { every: 8_000, length: 2_000, rate: Math.max(rate, this.burst) },
      model: this.model,
      streamed: 0.8,
      tokens: [1, this.tokens],
      promptWords: [5, 60],
      callers: [this.token]
    }), { urls: () => urls, model: this.model })
    const summary = summarizeLoad(outcomes)
    this.context.stdout.write((this.json ? JSON.stringify(summary, null, 2) : formatSummary(summary)) + '\n')
    return summary.cut + summary.lost > 0 ? exitCodes.refused : exitCodes.ok
  }
}

function formatSummary ({ asked, answered, refused, cut, lost, firstToken, betweenTokens }: LoadSummary): string {
  return [
    `asked ${asked}, answered ${answered}, cut ${cut}, lost ${lost}, refused ${JSON.stringify(refused)}`,
    ...Object.entries({ 'first token': firstToken, 'between tokens': betweenTokens })
      .map(([name, { p50, p95, p99, p999 }]) => `${name} ms: p50 ${p50} p95 ${p95} p99 ${p99} p99.9 ${p999}`)
  ].join('\n')
}

import type { Random } from '../../src/kernel/random.js'

/** One online request of a trace. */
interface OnlineRequest { readonly at: number, readonly promptTokens: number, readonly answerTokens: number }

/** Bursts of Poisson arrivals with pauses between them; `burst`, `quiet` and `between` are means. Times in ms. */
interface WorkloadOptions { readonly burst: number, readonly quiet: number, readonly between: number, readonly length: number }

/** Creates the online requests of one server, with 100 to 700 prompt tokens and 20 to 160 answer tokens, uniformly distributed. */
export function createWorkload (random: Random, { burst, quiet, between, length }: WorkloadOptions): readonly OnlineRequest[] {
  const requests: OnlineRequest[] = []
  let now = 0
  while (now < length) {
    now += draw(random, quiet)
    const end = now + draw(random, burst)
    for (now += draw(random, between); now < end; now += draw(random, between)) {
      requests.push({ at: now, promptTokens: 100 + random.below(600), answerTokens: 20 + random.below(140) })
    }
  }
  return requests.filter(({ at }) => at < length)
}

/** Draws from an exponential distribution. */
function draw (random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next())
}

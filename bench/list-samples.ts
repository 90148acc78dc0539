import type { LoadOutcome } from '../src/load/load-outcome.js'
import type { OnlineSample } from './online-sample.js'

const BLOCK = 1_000

/** Returns the samples of the streamed answers of one repeat. */
export function listSamples (outcomes: readonly LoadOutcome[], repeat: number): readonly OnlineSample[] {
  return outcomes.flatMap(({ outcome, at, firstToken, gaps }) => {
    return outcome === 'answered' && firstToken !== undefined && gaps !== undefined ? [{ block: `${repeat}/${Math.floor(at / BLOCK)}`, firstToken, gaps }] : []
  })
}

import test from 'ava'
import { Circuit } from '../../src/store/circuit.js'

type Step = readonly [at: number, what: 'answer' | 'failure']

function run (steps: readonly Step[]): boolean {
  const circuit = new Circuit(0)
  for (const [at, what] of steps) {
    if (what === 'answer') circuit.onAnswer(at)
    else circuit.onFailure(at)
  }
  return circuit.open
}

function repeat (count: number, at: number): readonly Step[] {
  return Array.from({ length: count }, () => [at, 'failure'] as const)
}

const CASES: readonly (readonly [what: string, open: boolean, steps: readonly Step[]])[] = [
  ['many failures in a burst right after an answer are lost replies, not an outage', false, [[100, 'answer'], ...repeat(12, 110)]],
  ['five failures without an answer for 300 ms are an outage', true, [[100, 'answer'], ...repeat(4, 110), [400, 'failure']]],
  ['two failures without an answer for 1.5 s are an outage', true, [[100, 'answer'], [200, 'failure'], [1_600, 'failure']]],
  ['one failure is not an outage', false, [[5_000, 'failure']]],
  ['an answer closes it', false, [...repeat(5, 2_000), [2_100, 'answer']]]
]

for (const [what, open, steps] of CASES) test(what, t => t.is(run(steps), open))

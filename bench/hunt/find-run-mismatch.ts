import { hashTokens } from '../../stand-ins/engine/hash-tokens.js'
import { splitMark } from '../../stand-ins/engine/split-mark.js'
import type { EngineRun } from './engine-run.js'

interface RunMismatchOptions {
  /** The request or item that the answer is for. */
  readonly id: string
  readonly runs: Readonly<Record<string, EngineRun>>
  /** Whether the answer may go on from another run's tokens (docs/DECISIONS/streams). */
  readonly mayResume: boolean
}

/**
 * What is wrong with the runs that an answer's words are of; undefined where nothing is. Right is one run of this request
 * that ended whole; or, where it may be resumed, one run after the other, each begun from exactly the tokens before its
 * own, the last of them ended whole.
 */
export function findRunMismatch (answer: string, { id, runs, mayResume }: RunMismatchOptions): string | undefined {
  const words = answer.split(' ')
  const segments = splitSegments(words)
  if (segments.length > 1 && !mayResume) return `it is of ${segments.length} runs: ${segments.map(({ run }) => run).join()}`
  for (const { run, from } of segments) {
    const wrong = run === undefined ? 'a word has no mark' : findSegmentMismatch(words.slice(0, from), run, { id, runs })
    if (wrong !== undefined) return wrong
  }
  const last = segments.at(-1)!.run!
  return runs[last]!.outcome === 'finished' ? undefined : `${last} did not end whole`
}

function findSegmentMismatch (before: readonly string[], run: string, { id, runs }: Omit<RunMismatchOptions, 'mayResume'>): string | undefined {
  const known = runs[run]
  if (known === undefined) return `${run} is in no server's file`
  if (known.id !== id) return `${run} ran ${known.id}`
  if (known.resumed !== before.length) return `${run} was begun from token ${known.resumed} and follows ${before.length}`
  return known.from === hashTokens([before.join(' ')]) ? undefined : `${run} was begun from other tokens than it follows`
}

/** The runs in the order of their words; `from` is the place of a part's first word. */
function splitSegments (words: readonly string[]): ReadonlyArray<{ readonly run: string | undefined, readonly from: number }> {
  return words
    .map((word, from) => ({ run: splitMark(word).run, from }))
    .filter(({ run }, n, all) => n === 0 || run !== all[n - 1]!.run)
}

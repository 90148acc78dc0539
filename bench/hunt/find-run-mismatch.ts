import { hashTokens } from '../../stand-ins/engine/hash-tokens.js'
import { splitMark } from '../../stand-ins/engine/split-mark.js'
import type { EngineRun } from './engine-run.js'

interface RunMismatchOptions {
  /** The request or item that the answer is for. */
  readonly id: string
  readonly runs: Readonly<Record<string, EngineRun>>
  /** Whether the answer may be resumed by another run (docs/DECISIONS/streams). */
  readonly mayResume: boolean
}

/**
 * Checks by the run marks that an answer comes from one finished run of its request, or, where it may be resumed, from
 * successive runs, each resumed after exactly the tokens before its own and the last of them finished. Returns the error,
 * or undefined if there is none.
 */
export function findRunMismatch (answer: string, { id, runs, mayResume }: RunMismatchOptions): string | undefined {
  const words = answer.split(' ')
  const segments = splitSegments(words)
  if (segments.length > 1 && !mayResume) return `it comes from ${segments.length} runs: ${segments.map(({ run }) => run).join()}`
  for (const { run, from } of segments) {
    const wrong = run === undefined ? 'a word has no mark' : findSegmentMismatch(words.slice(0, from), run, { id, runs })
    if (wrong !== undefined) return wrong
  }
  const last = segments.at(-1)!.run!
  return runs[last]!.outcome === 'finished' ? undefined : `${last} did not finish`
}

function findSegmentMismatch (before: readonly string[], run: string, { id, runs }: Omit<RunMismatchOptions, 'mayResume'>): string | undefined {
  const known = runs[run]
  if (known === undefined) return `${run} is in no run file`
  if (known.id !== id) return `${run} ran ${known.id}`
  if (known.resumed !== before.length) return `${run} resumed after ${known.resumed} tokens but follows ${before.length}`
  return known.from === hashTokens([before.join(' ')]) ? undefined : `${run} resumed after other tokens than those it follows`
}

/** Splits an answer into segments of one run each; `from` is the index of a segment's first word. */
function splitSegments (words: readonly string[]): ReadonlyArray<{ readonly run: string | undefined, readonly from: number }> {
  return words
    .map((word, from) => ({ run: splitMark(word).run, from }))
    .filter(({ run }, n, all) => n === 0 || run !== all[n - 1]!.run)
}

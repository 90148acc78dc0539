import { createHash } from 'node:crypto'

const VOCABULARY = ['tide', 'berth', 'gluten', 'celery', 'mustard', 'sesame', 'harbour', 'ferry', 'rope', 'egg']

/**
 * Returns the words of an answer: `[DIGEST]` of the prompt, words derived from the digest, and `[end]`. The text shows
 * which prompt it answers and whether it is complete.
 */
export function createAnswerWords (prompt: string, count: number): readonly string[] {
  const digest = createHash('sha256').update(prompt).digest('hex').slice(0, 12)
  const words = Array.from({ length: Math.max(0, count - 2) }, (_, i) => {
    return VOCABULARY[parseInt(digest[i % digest.length]!, 16) % VOCABULARY.length]!
  })
  return [`[${digest}]`, ...words, '[end]']
}

import { createHash } from 'node:crypto'

const VOCABULARY = ['tide', 'berth', 'gluten', 'celery', 'mustard', 'sesame', 'harbour', 'ferry', 'rope', 'egg']

/**
 * The words a stand-in engine answers with: `[mark]`, then words that follow from the prompt alone, then `[end]`.
 * A reader can tell from the text whose answer it is and whether it is whole.
 */
export function createAnswerWords (prompt: string, count: number): readonly string[] {
  const mark = createHash('sha256').update(prompt).digest('hex').slice(0, 12)
  const words = Array.from({ length: Math.max(0, count - 2) }, (_, i) => {
    return VOCABULARY[parseInt(mark[i % mark.length]!, 16) % VOCABULARY.length]!
  })
  return [`[${mark}]`, ...words, '[end]']
}

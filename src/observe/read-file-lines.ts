import { createReadStream } from 'node:fs'

/** Longer lines are split, in characters. Bounds the memory for a file without line breaks, which can't be a log. */
const MAX_LINE_LENGTH = 1_048_576

/** Reads a file line by line, so that it may be larger than the memory. */
export async function * readFileLines (path: string): AsyncGenerator<string> {
  let rest = ''
  for await (const chunk of createReadStream(path, 'utf8')) {
    const lines = (rest + String(chunk)).split('\n')
    rest = lines.pop()!
    yield * lines
    if (rest.length <= MAX_LINE_LENGTH) continue
    yield rest
    rest = ''
  }
  if (rest !== '') yield rest
}

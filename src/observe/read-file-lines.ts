import { createReadStream } from 'node:fs'

/** Characters of a line after which it is cut: a file without line ends isn't a log. */
const MAX_LINE_LENGTH = 1_048_576

/** The lines of a file, one after the other, so that a file may be larger than the memory. */
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

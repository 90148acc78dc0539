import { failUnreachable } from '../kernel/unreachable.js'
import type { ReadProblem } from './read-problem.js'

/** Formats what could not be read, one line per file, followed by the broken lines that contain the id. */
export function showReadProblems (unread: readonly ReadProblem[]): readonly string[] {
  return unread.flatMap(one => {
    switch (one.type) {
      case 'unreadable': return [`${one.file} can't be read: ${one.detail}`]
      case 'no log': return [`${one.file} is not a log`]
      case 'broken': return [
        `${one.file}: ${one.count} broken ${one.count === 1 ? 'line' : 'lines'}, the first at ${one.first}`,
        ...one.withId.map(({ number, text }) => `  ${one.file}:${number} has the id: ${text.trim()}`)
      ]
      default: return failUnreachable(one)
    }
  })
}

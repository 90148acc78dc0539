import type { ReadProblem } from './read-problem.js'

interface BrokenLine { readonly file: string, readonly number: number, readonly text: string }

/** Collects the files and lines of a folder of logs that could not be read. */
export class ReadProblemCollector {
  private readonly broken = new Map<string, { readonly first: number, count: number, readonly withId: Array<Pick<BrokenLine, 'number' | 'text'>> }>()
  private readonly unreadable = new Map<string, string>()
  /** Matches the id as a whole word. */
  private readonly idPattern: RegExp

  constructor (id: string) {
    this.idPattern = new RegExp(`(?<![\\w-])${id.replace(/[^\w]/g, '\\$&')}(?![\\w-])`)
  }

  addBroken ({ file, number, text }: BrokenLine): void {
    const known = this.broken.get(file) ?? { first: number, count: 0, withId: [] }
    known.count++
    if (this.idPattern.test(text)) known.withId.push({ number, text })
    this.broken.set(file, known)
  }

  addUnreadable (file: string, detail: string): void {
    this.unreadable.set(file, detail)
  }

  /** Lists the problems found. `logs`: the files with at least one log line. */
  list (logs: ReadonlySet<string>): readonly ReadProblem[] {
    return [
      ...[...this.unreadable].map(([file, detail]) => ({ type: 'unreadable', file, detail } as const)),
      ...[...this.broken].map(([file, { first, count, withId }]) => logs.has(file) || withId.length > 0
        ? { type: 'broken', file, count, first, withId } as const
        : { type: 'no log', file } as const)
    ]
  }
}

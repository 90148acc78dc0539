interface Word { readonly missing: Set<string>, readonly waiting: Array<() => void> }

/** Which daemons haven't yet said what they had in flight at lost servers, asked once for each end of a server. */
export class LossWords {
  private readonly words = new Map<string, Word>()

  /** Whether the daemons are to be asked: false where they were, and the server hasn't answered since. */
  begin (server: string, daemons: readonly string[]): boolean {
    if (this.words.has(server)) return false
    this.words.set(server, { missing: new Set(daemons), waiting: [] })
    return true
  }

  hear (server: string, daemon: string): void {
    const word = this.words.get(server)
    if (word?.missing.delete(daemon) === true && word.missing.size === 0) this.finish(server)
  }

  /** Waits for those that haven't answered no longer. */
  finish (server: string): void {
    const word = this.words.get(server)
    word?.missing.clear()
    for (const resolve of word?.waiting.splice(0) ?? []) resolve()
  }

  /** Calls `resolve` once all have said so; at once where they have. */
  wait (server: string, resolve: () => void): void {
    const word = this.words.get(server)
    if (word === undefined || word.missing.size === 0) resolve()
    else word.waiting.push(resolve)
  }

  forget (server: string): void {
    this.words.delete(server)
  }
}

import { Lifecycle, scoped } from 'tsyringe'

interface Counts { asked: number, answered: number, refused: Record<string, number>, tokens: number, waited: number }

/** What each caller asked for, got and was refused at this daemon since it started. */
@scoped(Lifecycle.ContainerScoped)
export class Account {
  private readonly callers = new Map<string, Counts>()

  count (caller: string, what: { readonly type: 'asked' } | { readonly type: 'answered', readonly tokens: number } | { readonly type: 'refused', readonly cause: string } | { readonly type: 'waited', readonly time: number }): void {
    const counts = this.callers.get(caller) ?? { asked: 0, answered: 0, refused: {}, tokens: 0, waited: 0 }
    this.callers.set(caller, counts)
    switch (what.type) {
      case 'asked': counts.asked++; break
      case 'answered': counts.answered++; counts.tokens += what.tokens; break
      case 'refused': counts.refused[what.cause] = (counts.refused[what.cause] ?? 0) + 1; break
      case 'waited': counts.waited += what.time; break
    }
  }

  read (): Readonly<Record<string, Readonly<Counts>>> {
    return Object.fromEntries(this.callers)
  }
}

/** Settings that can change while the process runs; `view` always reads the current ones. */
export class LiveSettings<T extends object> {
  /** A proxy of the current settings. */
  readonly view: T

  constructor (private current: T, private readonly options: { readonly fixed?: ReadonlyArray<keyof T> } = {}) {
    this.view = new Proxy(current, { get: (_first, key) => this.current[key as keyof T] })
  }

  /**
   * Replaces the settings, except the fixed ones, such as the addresses that the process listens on. Returns the settings that
   * have changed, and those whose change waits for the next start.
   */
  replace (next: T): { readonly changed: ReadonlyArray<keyof T>, readonly waiting: ReadonlyArray<keyof T> } {
    const { fixed = [] } = this.options
    const differing = (Object.keys(next) as Array<keyof T>).filter(key => JSON.stringify(next[key]) !== JSON.stringify(this.current[key]))
    const waiting = differing.filter(key => fixed.includes(key))
    const kept = Object.fromEntries(fixed.map(key => [key, this.current[key]])) as Partial<T>
    this.current = { ...next, ...kept }
    return { changed: differing.filter(key => !fixed.includes(key)), waiting }
  }
}

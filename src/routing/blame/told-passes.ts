/** How often parts passed at a daemon, and all parts together. */
export interface ToldPasses {
  readonly passes: Readonly<Record<string, number>>
  readonly total: number
  /** Time that runs with the parts, and all runs, were in flight there, ms; undefined in messages of daemons that don't send it. */
  readonly times?: Readonly<Record<string, number>>
  readonly totalTime?: number
}

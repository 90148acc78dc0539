/** A daemon's question for slots of a group, as it goes to the group's broker. Times in ms, relative to when it is sent. */
export type SlotRequest =
  | {
    readonly work: 'online'
    /** The asker's own number of the question. */
    readonly n: number
    readonly pool: string
    readonly group: number
    readonly key?: string
    readonly avoided: readonly string[]
    readonly waited: number
    /** Since its caller first asked. */
    readonly sinceAsked: number
    readonly left: number
    /** Until it must have begun. */
    readonly beginWithin: number
    readonly target: number
    readonly priority: number
    readonly returning: boolean
  }
  | { readonly work: 'batch', readonly pool: string, readonly group: number, readonly avoided: readonly string[], readonly count: number, readonly dueIn: number, readonly remaining: number }

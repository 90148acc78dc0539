/** A daemon's request for slots of a group, sent to the group's broker. Times in ms, relative to the time of sending. */
export type SlotRequest =
  | {
    readonly work: 'online'
    /** Request id, unique for the sending daemon. */
    readonly n: number
    readonly pool: string
    readonly group: number
    readonly key?: string
    /** The only version of a server's software that may run it; any if omitted. */
    readonly version?: string
    /** The caller whose key it had. */
    readonly caller?: string
    /** Whether it was counted against its caller's quota before. */
    readonly isCounted?: boolean
    /** Its size, see `estimateSize`; omitted if it doesn't tell. */
    readonly size?: number
    readonly avoided: readonly string[]
    /** The server that has it; it must not get the request again. */
    readonly excluded?: string
    readonly waited: number
    /** Time since its caller's first attempt. */
    readonly sinceAsked: number
    readonly left: number
    /** Time until its latest useful start. */
    readonly beginWithin: number
    readonly target: number
    readonly priority: number
    readonly returning: boolean
    readonly repeatable: boolean
  }
  | {
    readonly work: 'batch'
    readonly pool: string
    readonly group: number
    readonly avoided: readonly string[]
    readonly count: number
    readonly dueIn: number
    readonly remaining: number
    /** Whether the bid is to be confirmed. */
    readonly confirm?: boolean
  }

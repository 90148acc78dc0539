/** One planned request. */
export interface Arrival {
  /** ms after the start. */
  readonly at: number
  readonly id: string
  /** Bearer token of the caller. */
  readonly caller: string
  readonly prompt: string
  readonly tokens: number
  readonly stream: boolean
}

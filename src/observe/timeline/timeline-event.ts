/**
 * One event on the timeline. `time` is a hybrid logical time in ms: an effect never has a smaller time than its cause,
 * also across processes.
 */
export interface TimelineEvent {
  readonly time: number
  readonly instance: string
  readonly part: string
  readonly what: string
  readonly request?: string
  readonly job?: string
  readonly server?: string
  readonly detail?: string
}

/**
 * One event on the time line. `time` is a hybrid logical time: an event that another one caused, in whatever
 * process, never has the smaller time.
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

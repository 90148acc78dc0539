/**
 * How the simulated daemons order jobs. `ours` is src/batch/order-jobs; `by pace` is the same, but estimates the remaining
 * time of a job from the rate of the whole fleet, even before its first result.
 */
export type DueOrder = 'ours' | 'by pace' | 'first come' | 'earliest due'

/**
 * How the model's daemons order jobs: `ours` is src/batch/order-jobs as it is; `by pace` is the same with the rest of a job
 * estimated from the pace of the whole fleet, also before its first result.
 */
export type DueOrder = 'ours' | 'by pace' | 'first come' | 'earliest due'

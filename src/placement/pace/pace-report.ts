/** Intervals between events that a daemon has seen since its last report: server, number of intervals, their mean in ms. */
export type PaceReport = ReadonlyArray<readonly [string, number, number]>

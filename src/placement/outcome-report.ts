/** How a daemon's online requests ended at servers since its last report: server, answered, failed. */
export type OutcomeReport = ReadonlyArray<readonly [string, number, number]>

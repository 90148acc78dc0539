/** How a daemon's requests ended at servers since its last report: server, online requests answered and failed, and the same of items; none if absent. */
export type OutcomeReport = ReadonlyArray<readonly [string, number, number, number?, number?]>

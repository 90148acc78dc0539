/** One daemon's in-flight counts by server: server, online requests, batch items. */
export type LoadReport = ReadonlyArray<readonly [string, number, number]>

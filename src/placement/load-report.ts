/** What one daemon has in flight: server, online requests, batch items. */
export type LoadReport = ReadonlyArray<readonly [string, number, number]>

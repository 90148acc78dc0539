import type { LogLine } from './log-line.js'

interface Change { readonly state: string, readonly time: number }

/** Holds the configuration and server state changes in the logs of all daemons, for comparison with the state of one. Ages in ms. */
export class FleetHistory {
  /** By version: when a daemon first logged it, ms since 1970. */
  private readonly activationTimes = new Map<number, number>()
  private readonly serverChanges = new Map<string, Change[]>()

  /** Records a line. Lines may come in any order. */
  observe ({ part, time, fields: { version, server, state } }: LogLine): void {
    if ((part === 'fleet' || part === 'configuration') && typeof version === 'number') this.activationTimes.set(version, Math.min(time, this.activationTimes.get(version) ?? Infinity))
    if (typeof server !== 'string' || typeof state !== 'string') return
    const known = this.serverChanges.get(server)
    if (known === undefined) this.serverChanges.set(server, [{ state, time }])
    else known.push({ state, time })
  }

  /** Finds the newest configuration above `version` that any daemon had logged before `time`. */
  findNewerConfiguration (version: number, time: number): { readonly version: number, readonly age: number } | undefined {
    const newer = [...this.activationTimes].filter(([other, since]) => other > version && since < time).sort(([a], [b]) => b - a)[0]
    return newer === undefined ? undefined : { version: newer[0], age: time - newer[1] }
  }

  /** Finds the newest state of the server logged by any daemon between `since` and `time`; undefined if it equals `state`. */
  findLaterState (server: string, { state, since, time }: { readonly state: string, readonly since: number, readonly time: number }): { readonly state: string, readonly age: number } | undefined {
    const candidates = (this.serverChanges.get(server) ?? []).filter(change => change.time > since && change.time < time)
    const newest = candidates.reduce<Change | undefined>((last, change) => last === undefined || change.time > last.time ? change : last, undefined)
    return newest === undefined || newest.state === state ? undefined : { state: newest.state, age: time - newest.time }
  }
}

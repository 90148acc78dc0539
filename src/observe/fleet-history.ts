import type { LogLine } from './log-line.js'

interface Change { readonly state: string, readonly time: number }

/** What the logs of all daemons tell of configurations and servers, to be compared with what one of them knew. Ages are in ms. */
export class FleetHistory {
  /** By version: when it was first in force anywhere. */
  private readonly activationTimes = new Map<number, number>()
  private readonly serverChanges = new Map<string, Change[]>()

  /** Takes a line; the lines may come in any order. */
  observe ({ part, time, fields: { version, server, state } }: LogLine): void {
    if ((part === 'fleet' || part === 'configuration') && typeof version === 'number') this.activationTimes.set(version, Math.min(time, this.activationTimes.get(version) ?? Infinity))
    if (typeof server !== 'string' || typeof state !== 'string') return
    const known = this.serverChanges.get(server)
    if (known === undefined) this.serverChanges.set(server, [{ state, time }])
    else known.push({ state, time })
  }

  /** The newest configuration above `version` that was in force somewhere at `time`. */
  findNewerConfiguration (version: number, time: number): { readonly version: number, readonly age: number } | undefined {
    const newer = [...this.activationTimes].filter(([other, since]) => other > version && since < time).sort(([a], [b]) => b - a)[0]
    return newer === undefined ? undefined : { version: newer[0], age: time - newer[1] }
  }

  /** The newest state of the server, heard by any daemon after `since` and before `time`, where it isn't `state`. */
  findLaterState (server: string, { state, since, time }: { readonly state: string, readonly since: number, readonly time: number }): { readonly state: string, readonly age: number } | undefined {
    const candidates = (this.serverChanges.get(server) ?? []).filter(change => change.time > since && change.time < time)
    const newest = candidates.reduce<Change | undefined>((last, change) => last === undefined || change.time > last.time ? change : last, undefined)
    return newest === undefined || newest.state === state ? undefined : { state: newest.state, age: time - newest.time }
  }
}

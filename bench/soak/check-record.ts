import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { checkLying } from './check-lying.js'
import { checkReads } from './check-reads.js'
import type { SentJob } from './sent-job.js'
import type { SentRequest } from './sent-request.js'
import type { SoakRecord } from './soak-record.js'
import { soakKeys } from './soak-keys.js'
import { soakSize } from './soak-size.js'

const IMPOSSIBLE = '/impossible'
const UNAUTHORIZED = 401

/** Returns one sentence for each guarantee that the record violates. */
export function checkRecord (record: SoakRecord): readonly string[] {
  const runs = indexRuns(record)
  return [
    ...record.exits,
    ...record.requests.flatMap(request => checkRequest(request, runs.get(request.id) ?? [], record)),
    ...record.jobs.flatMap(job => checkJob(job, runs, record)),
    ...checkReads(record),
    ...checkLying(record),
    ...checkUnknownRuns(record),
    ...checkVersions(record),
    ...checkCallers(record),
    ...checkQuota(record),
    ...checkDraining(record)
  ]
}

type Runs = SoakRecord['runs']

function indexRuns ({ runs }: SoakRecord): ReadonlyMap<string, Runs> {
  const groups = new Map<string, Runs>()
  for (const run of runs) groups.set(run.id, [...groups.get(run.id) ?? [], run])
  return groups
}

function isDisturbed ({ harmed }: SoakRecord, daemon: number | undefined, from: number, to: number): boolean {
  return harmed.some(disturbance => (disturbance.daemon === undefined || disturbance.daemon === daemon) && disturbance.from <= to && disturbance.to >= from)
}

/** Returns how long the soak's process did nothing within a time span, ms. */
function getStandstill ({ standstills }: SoakRecord, from: number, to: number): number {
  return standstills.reduce((sum, standstill) => sum + Math.max(0, Math.min(to, standstill.to) - Math.max(from, standstill.from)), 0)
}

function checkRequest (request: SentRequest, runs: Runs, record: SoakRecord): readonly string[] {
  const { id, path, outcome, status, stamp, text, resumable, resumption, daemon, at, until } = request
  const findings: string[] = []
  const addFinding = (what: string): void => { findings.push(`${id} ${path} at daemon ${daemon}, ${at} to ${until} ms: ${what}`) }
  const whole = Array.from({ length: soakSize.events }, (_, i) => `id: ${i + 1}\ndata: ${EventEngine.buildEventData(path, i + 1)}\n\n`).slice(resumption?.after ?? 0).join('')
  if (outcome === 'whole' && text !== whole) addFinding('completed with other events than its server sends')
  if ((outcome === 'whole' || outcome === 'cut') && !whole.startsWith(text.slice(0, text.lastIndexOf('\n\n') + 1))) addFinding('events are missing, repeated or out of order')
  if (outcome === 'whole' && !runs.some(({ engine }) => stamp === `stamp-${engine}`)) addFinding(`has stamp ${String(stamp)}, but no such server ran it`)
  if (outcome === 'refused' && runs.length > 0) addFinding(`was answered ${status}, and ran at ${runs.map(({ engine }) => engine).join()}`)
  if (!resumable && runs.length > 1) addFinding(`may run once, and ran at ${runs.map(run => `${run.engine} (${run.at} ms)`).join()}`)
  return [...findings, ...checkRoute(request, runs, record), ...checkCutAnswer(request, runs, record)]
}

/** Checks that a connected daemon routes by a configuration that was in force when the request was in flight, allowing for the time to apply it. */
function checkRoute ({ id, path, outcome, daemon, at, until }: SentRequest, runs: Runs, record: SoakRecord): readonly string[] {
  if (isDisturbed(record, daemon, at, until)) return []
  const inForce = record.versions.filter((version, i) => version.at <= until && (record.versions[i + 1]?.at ?? Infinity) + soakSize.configurationBound + soakSize.slack >= at)
  const isExtra = path.startsWith('/extra/')
  if (outcome === 'no route' && !(isExtra && inForce.some(({ hasExtra }) => !hasExtra))) return [`${id} ${path} at daemon ${daemon}, ${at} ms: found no route that every configuration in force has`]
  if (isExtra && runs.length > 0 && !inForce.some(({ hasExtra }) => hasExtra)) return [`${id} ${path} at daemon ${daemon}, ${at} ms: ran on a removed route`]
  return []
}

/**
 * Checks that an answer was cut only where its server failed or its connection to it was reset, where its daemon or the store was
 * disturbed, or at its deadline where the soak's own process, which relays it, stood still for a good part of its time.
 */
function checkCutAnswer ({ id, path, outcome, text, daemon, at, until }: SentRequest, runs: Runs, record: SoakRecord): readonly string[] {
  if (outcome !== 'cut' || runs.length === 0) return []
  const disturbances = record.harmed.filter(disturbance => disturbance.daemon === daemon && disturbance.from <= until && disturbance.to >= at)
  const cutByServer = runs.some(({ events }) => events < soakSize.events)
  const cutByReset = runs.some(run => record.resets.some(({ engine, from, to }) => engine === run.engine && run.at <= to && until >= from && until <= to + soakSize.slack))
  const cutByStandstill = until - at >= soakSize.deadline && getStandstill(record, at, until) >= soakSize.slack
  return cutByStandstill || cutByReset || disturbances.length > 0 || cutByServer || isDisturbed(record, undefined, at, until) ? [] : [`${id} ${path} at daemon ${daemon}, ${at} ms: was cut at ${until} ms after ${text.length} bytes, though its server sent all; the soak stood still for ${getStandstill(record, at, until)} ms meanwhile`]
}

function checkJob (job: SentJob, runs: ReadonlyMap<string, Runs>, record: SoakRecord): readonly string[] {
  const { id, items, statuses, acceptedAt, endAskedAt = job.endedAt, endedAt, reads } = job
  const findings: string[] = []
  const ran = items.flatMap(item => runs.get(item) ?? [])
  if (acceptedAt === undefined) {
    if (statuses.every(status => status === 429 || status === 503) && ran.length > 0) findings.push(`${id} was refused each time, and ran`)
    return findings
  }
  const longest = reads.reduce((most, read) => read.results.length > most.results.length ? read : most, { results: [] as SentJob['reads'][number]['results'], at: 0 })
  for (const read of reads) {
    if (read.status === 404 && !isDisturbed(record, read.daemon, read.at - 1_000, read.at)) findings.push(`${id} wasn't found at daemon ${read.daemon}, ${read.at} ms, though it was accepted`)
    if (read.status === 200 && read.total !== items.length) findings.push(`${id} had a total of ${read.total} at ${read.at} ms`)
    for (const [i, result] of read.results.entries()) {
      if (JSON.stringify(result) !== JSON.stringify(longest.results[i])) findings.push(`${id}: position ${i} was ${result.id} at ${read.at} ms and ${String(longest.results[i]?.id)} at ${longest.at} ms`)
    }
  }
  if (new Set(longest.results.map(result => result.id)).size !== longest.results.length) findings.push(`${id}: an item is at two positions`)
  for (const { id: item, state, text } of longest.results) {
    const whole = Array.from({ length: soakSize.events }, (_, i) => EventEngine.buildEventData(`/drafts/${item}`, i + 1)).join('\n')
    if (!items.includes(item)) findings.push(`${id}: ${item} is not one of its items`)
    if (state === 'completed' && text !== whole) findings.push(`${id}: ${item} is incomplete or altered`)
    if (state === 'failed' && !item.endsWith(IMPOSSIBLE) && endAskedAt === undefined) findings.push(`${id}: ${item} failed, though it can be completed`)
  }
  if (endAskedAt !== undefined && endedAt === undefined) findings.push(`${id}: its cancellation was asked for at ${endAskedAt} ms and never confirmed`)
  if (endAskedAt === undefined && longest.results.length < items.length) findings.push(`${id}: ${items.length - longest.results.length} items never got a result`)
  if (endedAt !== undefined && !isDisturbed(record, undefined, endedAt, endedAt + soakSize.cancelBound)) {
    const late = ran.filter(run => run.at > endedAt + soakSize.cancelBound + soakSize.slack)
    if (late.length > 0 && record.harmed.length === 0) findings.push(`${id}: ${late[0]!.id} began ${late[0]!.at - endedAt} ms after the cancellation of its job was confirmed`)
  }
  return findings
}

function checkUnknownRuns ({ runs, requests, jobs }: SoakRecord): readonly string[] {
  const asked = new Set([...requests.map(({ id }) => id), ...jobs.flatMap(({ items }) => items)])
  return runs.filter(({ id }) => !asked.has(id)).map(({ id, engine }) => `${engine} ran ${id}, which no caller sent`)
}

/** Checks that the runs of a stream, or of an item, since the last one from its beginning are of one version of the servers' software. */
function checkVersions ({ runs }: SoakRecord): readonly string[] {
  const byPath = new Map<string, Runs>()
  for (const run of [...runs].sort((a, b) => a.at - b.at)) byPath.set(run.path, run.resumedAfter === undefined ? [run] : [...byPath.get(run.path) ?? [], run])
  return [...byPath].flatMap(([path, own]) => {
    const versions = new Set(own.filter(({ events, resumedAfter }) => events > 0 || resumedAfter !== undefined).map(({ version }) => version))
    return versions.size > 1 ? [`${path} went on at another version: ${own.map(({ engine, version, at }) => `${engine} ${version} (${at} ms)`).join(', ')}`] : []
  })
}

/** Checks that servers get the name of the organisation whose key a request had, never the key, and that no known key is rejected. */
function checkCallers ({ runs, requests }: SoakRecord): readonly string[] {
  const byId = new Map(requests.map(request => [request.id, request]))
  return [
    ...requests.filter(({ status, caller }) => status === UNAUTHORIZED && caller !== '').map(({ id, daemon, at }) => `${id} at daemon ${daemon}, ${at} ms: its key was rejected`),
    ...runs.filter(({ key }) => key !== undefined).map(({ id, engine }) => `${engine} got the key of ${id}`),
    ...runs.filter(({ id, caller }) => caller !== (byId.get(id)?.caller ?? soakKeys.usual.name)).map(({ id, engine, caller }) => `${engine} ran ${id} for ${String(caller)}`)
  ]
}

/** Checks the runs of the organisation with a quota in every window. A request that ran again counts once. */
function checkQuota ({ runs }: SoakRecord): readonly string[] {
  const times = [...new Map(runs.filter(({ caller }) => caller === soakKeys.hot.name).map(({ id, at }) => [id, at])).values()].sort((a, b) => a - b)
  const counts = times.map((at, i) => ({ at, count: times.slice(i).filter(later => later < at + soakKeys.window).length }))
  const worst = counts.reduce((most, next) => next.count > most.count ? next : most, { at: 0, count: 0 })
  return worst.count > soakKeys.most ? [`${worst.count} requests of ${soakKeys.hot.name} ran in ${soakKeys.window} ms from ${worst.at} ms`] : []
}

/** Checks that connected daemons send a draining server no requests after the bound; job items are checked only where nothing was disturbed. */
function checkDraining (record: SoakRecord): readonly string[] {
  const byId = new Map(record.requests.map(request => [request.id, request]))
  return record.leaving.flatMap(({ engine, at, until }) => record.runs
    .filter(run => run.engine === engine && run.at > at + soakSize.drainBound + soakSize.slack && run.at < until)
    .filter(run => !isDisturbed(record, byId.get(run.id)?.daemon, at, run.at) && (byId.has(run.id) || record.harmed.length === 0))
    .map(run => `${engine} got ${run.id} ${run.at - at} ms after it began to drain`))
}

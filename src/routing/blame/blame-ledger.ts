import { countMoments } from './count-moments.js'
import { countRuns } from './count-runs.js'
import { estimatePartChance } from './estimate-part-chance.js'
import { findStrictest } from './find-strictest.js'
import { findTrialLimit } from './find-trial-limit.js'
import { findTrials } from './find-trials.js'
import { isBetterCause } from './is-better-cause.js'
import { isLikelyCause } from './is-likely-cause.js'
import { isProvedSound } from './is-proved-sound.js'
import { isReported } from './is-reported.js'
import { isSameExit } from './is-same-exit.js'
import { judgePart } from './judge-part.js'
import type { Judgement } from './judgement.js'
import { listPartLosses } from './list-part-losses.js'
import { mergeLoss } from './merge-loss.js'
import { mergeRefusedLosses } from './merge-refused-losses.js'
import type { PartEvidence } from './part-evidence.js'
import type { PartLoss } from './part-loss.js'
import { PartTotals } from './part-totals.js'
import type { PartVerdict } from './part-verdict.js'
import type { RefusedPart } from './refused-part.js'
import { ReleasedParts } from './released-parts.js'
import type { ToldPasses } from './told-passes.js'
import type { ServerPartLoss } from './server-part-loss.js'
import { splitLosses } from './split-losses.js'

/** Passes at this daemon from which its traffic counts as usual. */
const USUAL_PASSES = 5
/** How long a part is refused first, ms; it doubles each time. */
const REFUSAL_TIME = 120_000
/** By how much two daemons' ends of one refusal may differ, ms. */
const LATE_TIME = 2_000
/** Losses that two parts must have in common for one to explain the other's. */
const MIN_COMMON_LOSSES = 2
/** Maximum number of parts with evidence, and of losses for each; the oldest are forgotten first. */
const MAX_PARTS = 300
const MAX_LOSSES = 16
/** How long lost servers are remembered for the share of lost runs, ms, and their maximum number. */
const KEEP_TIME = 120_000
const MAX_LOST = 200
/** How long no trial of a part begins after the loss by which it is about to be refused, ms. */
const PENDING_TIME = 400
/** How long a verdict is reused while nothing new is known, ms: waiting items ask for it many times a second. */
const VERDICT_TIME = 100
/** Trials of a part that passed, from which more make no difference. */
const MAX_TRIALS_PASSED = 30
/** Known passes of a part up to which each daemon tells its own. */
const ENOUGH_PASSES = 20
const NOTHING: PartEvidence = { losses: [], passes: new Map(), refusals: 0, beside: [] }

/** What this daemon knows for and against the parts of prompts, and how requests with them are treated. Free of I/O; times in monotonic ms. */
export class BlameLedger {
  /** The runs here that passed lately. */
  readonly passes = new PartTotals()
  /** Time that runs here were in flight, ms. */
  readonly times = new PartTotals()
  private readonly evidence = new Map<string, PartEvidence>()
  /** Passes and time in flight of all runs at other daemons, by daemon. */
  private readonly totals = new Map<string, { readonly passes: number, readonly time: number }>()
  /** Runs that were lost with each server, as one entry for all requests. */
  private lost: readonly PartLoss[] = []
  /** Parts that have been refused, also those whose refusal has ended. */
  private readonly refused = new Set<string>()
  private readonly verdicts = new Map<string, { readonly verdict: PartVerdict, readonly at: number }>()
  private readonly released = new ReleasedParts({ lateTime: LATE_TIME, maxParts: MAX_PARTS })

  /** Judges a request by its parts. One that `mayTry` refused parts is judged by a suspect one where trials of all its refused ones have passed. */
  judge (parts: readonly string[], now: number, { mayTry = false }: { readonly mayTry?: boolean } = {}): Judgement {
    if (this.evidence.size === 0) return { verdict: 'clear' }
    const verdicts = parts.map(part => this.judgeBeside(part, parts, now))
    const suspect = parts.find((_, i) => verdicts[i] === 'suspect')
    const strictest = findStrictest(parts.filter((_, i) => verdicts[i] === 'refused').map(part => ({ part, ...this.findTrials(part) })), now)
    if (strictest !== undefined && !(mayTry && suspect !== undefined && now >= strictest.from && strictest.limit > 1)) return { verdict: 'refused', part: strictest.part }
    return suspect === undefined ? { verdict: 'clear' } : { verdict: 'suspect', part: suspect, isPending: this.isPending(suspect, now), isLikely: isLikelyCause(this.listOpenLosses(suspect, now), now, () => this.weigh(suspect, this.listOpenLosses(suspect, now), now)) }
  }

  /** Records the loss of a server; returns whether its report is new. */
  addLoss (report: ServerPartLoss, now: number): boolean {
    const { server, at, daemon, runs } = report
    const parts = new Set(runs.flatMap(run => run.parts).filter(part => at > this.released.findTime(part)))
    const isNew = !isReported(this.lost, report)
    if (isNew) this.lost = mergeLoss(this.lost, { server, at, first: at, began: at, runs: new Map([[daemon, runs.length]]), ids: new Map(report.id === undefined ? [] : [[daemon, report.id]]), beside: [] }).filter(loss => now - loss.at < KEEP_TIME).slice(-MAX_LOST)
    for (const [part, loss] of listPartLosses(report, parts)) {
      const known = this.evidence.get(part) ?? NOTHING
      if (!isReported(known.losses, report)) this.put(part, { ...known, losses: mergeLoss(known.losses, loss).slice(-MAX_LOSSES), trialsPassed: 0 })
    }
    return isNew
  }

  /** Judges all parts by what is known now; returns those that are refused since. */
  review (now: number): readonly RefusedPart[] {
    for (const [part, { losses, refusedUntil = -Infinity }] of this.evidence) if (now > Math.max(refusedUntil, losses.at(-1)?.at ?? -Infinity) + KEEP_TIME) this.drop(part)
    return this.refuseGuilty([...this.evidence.keys()], now)
  }

  /** Records a run here that passed; returns the parts that are no longer refused since. */
  addPass (parts: readonly string[], now: number): readonly string[] {
    for (const part of parts) this.passes.record([part], 1, now)
    if (!parts.some(part => this.evidence.has(part))) return []
    this.verdicts.clear()
    return parts.filter(part => this.clearIfSound(part, now))
  }

  /** Records how many runs passed at another daemon; returns the parts that are no longer refused since. */
  addPasses (daemon: string, { passes, total, times = {}, totalTime = 0 }: ToldPasses, now: number): readonly string[] {
    this.totals.set(daemon, { passes: total, time: totalTime })
    this.verdicts.clear()
    return Object.entries(passes).flatMap(([part, count]) => {
      const known = this.evidence.get(part)
      if (known === undefined) return []
      this.evidence.set(part, { ...known, passes: new Map(known.passes).set(daemon, { count, total, time: times[part] ?? 0, totalTime }) })
      return this.clearIfSound(part, now) ? [part] : []
    })
  }

  /** Takes over another daemon's decision; returns whether it is news. */
  addRefusal ({ part, until, beside, losses }: RefusedPart, now: number): boolean {
    const known = this.evidence.get(part) ?? NOTHING
    if (until <= now || this.findRelease(part, until) !== undefined || (known.refusedUntil ?? -Infinity) >= until - LATE_TIME) return false
    // A report that arrives late tells a later end of the same refusal, for which items must not wait anew.
    const isSame = now < (known.refusedUntil ?? -Infinity) && until < known.refusedUntil! + REFUSAL_TIME
    this.refused.add(part)
    this.put(part, { ...known, losses: mergeRefusedLosses(known.losses, { losses, beside }, isSame).slice(-MAX_LOSSES), refusedUntil: until, beside, ...!isSame && { refusedAt: now, refusals: known.refusals + 1, trialsPassed: 0 } })
    return true
  }

  /** Forgets what is held against a part, unless it is refused beyond `until`, and remembers it; returns whether there was anything. */
  release (part: string, now: number, until = this.evidence.get(part)?.refusedUntil ?? -Infinity): boolean {
    const known = this.evidence.get(part)
    if ((known?.refusedUntil ?? -Infinity) > until + LATE_TIME) return false
    this.drop(part)
    this.released.record(part, { at: now, until })
    return known !== undefined
  }

  /** Returns until when a part had been refused that was released, if it is the refusal until about `until`. */
  findRelease (part: string, until: number): number | undefined {
    return this.released.findEnd(part, until)
  }

  /** Lists the losses of servers with the part in flight, in order. */
  listLosses (part: string): readonly PartLoss[] {
    return this.evidence.get(part)?.losses ?? []
  }

  /** Returns from when on several trials of a part may run at a time, monotonic ms, and how many in the whole fleet. Only items try a refused part. */
  findTrials (part: string): { readonly from: number, readonly limit: number } {
    return findTrials(this.evidence.get(part) ?? NOTHING)
  }

  /** Returns how many trials of a part may run now in the whole fleet; undefined for a suspect one until several may. */
  findTrialLimit (part: string, now: number): number | undefined {
    return this.evidence.has(part) ? findTrialLimit(this.evidence.get(part)!, now) : undefined
  }

  /** Lists those of the parts whose trial a run was that began then and has passed. */
  listTried (parts: readonly string[], began: number, now: number): readonly string[] {
    return parts.filter(part => this.evidence.has(part) && began >= this.findTrials(part).from && (this.evidence.get(part)!.trialsPassed ?? 0) < MAX_TRIALS_PASSED && this.judgeOne(part, now) !== 'clear')
  }

  /** Records that a request of any daemon has passed as a trial of the part. */
  addTrialPass (part: string, now: number): void {
    const known = this.evidence.get(part)
    if (known !== undefined && now >= findTrials(known).from) this.evidence.set(part, { ...known, trialsPassed: Math.min(MAX_TRIALS_PASSED, (known.trialsPassed ?? 0) + 1) })
  }

  /** Returns how many runs with the part passed lately, here and as far as is known elsewhere. */
  countPasses (part: string, now: number): number {
    return [...this.evidence.get(part)?.passes.values() ?? []].reduce((sum, { count }) => sum + count, this.passes.get(part, now))
  }

  /** Returns the runs of all requests here and, as far as is known, at other daemons that passed and that were lost with their servers. */
  countAll (now: number): { readonly lost: number, readonly passed: number } {
    return { lost: countRuns(this.lost), passed: [...this.totals.values()].reduce((sum, { passes }) => sum + passes, this.passes.total(now)) }
  }

  listRefused (now: number): readonly RefusedPart[] {
    return [...this.refused].flatMap(part => this.findRefused(part, now) ?? [])
  }

  /** Lists the losses of parts that are suspect, for daemons that missed their reports. */
  listSuspectLosses (now: number): readonly ServerPartLoss[] {
    return [...this.evidence].flatMap(([part, { losses }]) => this.judgeOne(part, now) === 'suspect' ? splitLosses(part, losses) : [])
  }

  /** Whether all of these losses are of parts that are refused and that the request doesn't have. */
  explainsLosses (servers: readonly string[], parts: readonly string[], now: number): boolean {
    const others = this.listRefused(now).filter(({ part }) => !parts.includes(part))
    return others.length > 0 && servers.every(server => others.some(({ losses }) => losses.some(loss => loss.server === server)))
  }

  private isPending (part: string, now: number): boolean {
    const { losses, refusedUntil = -Infinity } = this.evidence.get(part) ?? NOTHING
    return refusedUntil <= now && now < (losses.at(-1)?.at ?? -Infinity) + PENDING_TIME && this.judgeOne(part, now) === 'refused'
  }

  private judgeBeside (part: string, parts: readonly string[], now: number): PartVerdict {
    const known = this.evidence.get(part)
    if (known === undefined) return 'clear'
    const verdict = this.judgeOne(part, now)
    const isDecided = now < (known.refusedUntil ?? -Infinity) && known.beside.every(other => parts.includes(other))
    return verdict === 'refused' && !isDecided ? 'suspect' : verdict
  }

  private judgeOne (part: string, now: number): PartVerdict {
    const cached = this.verdicts.get(part)
    if (cached !== undefined && now < cached.at + VERDICT_TIME && now >= cached.at) return cached.verdict
    const known = this.evidence.get(part) ?? NOTHING
    const losses = known.losses.filter(loss => !this.isExplained(loss, part, now))
    const verdict = judgePart({ ...known, losses }, this.weigh(part, losses, now))
    this.verdicts.set(part, { verdict, at: now })
    return verdict
  }

  /** Weighs a part's losses against its passes and the other losses. */
  private weigh (part: string, losses: readonly PartLoss[], now: number): Parameters<typeof judgePart>[1] {
    const passes = this.countPasses(part, now)
    const told = this.evidence.get(part)?.passes ?? NOTHING.passes
    const totals = [...this.totals].map(([daemon, all]) => told.get(daemon) ?? { total: passes < ENOUGH_PASSES ? all.passes : 0, totalTime: passes < ENOUGH_PASSES ? all.time : 0 })
    const others = this.lost.filter(loss => !this.findRefusedFor(loss, now).some(other => other !== part))
    const time = { own: [...told.values()].reduce((sum, { time }) => sum + time, this.times.get(part, now)), all: totals.reduce((sum, { totalTime }) => sum + totalTime, this.times.total(now)) }
    const chance = estimatePartChance({ losses, allLosses: others, passes: { own: passes, all: totals.reduce((sum, { total }) => sum + total, this.passes.total(now)) }, time })
    const all = this.countAll(now)
    return { passes, othersPass: all.passed >= USUAL_PASSES, all, allMoments: countMoments(others), chance, now }
  }

  /**
   * Refuses parts, the one that explains most losses first: these then no longer count against the others. Parts that were always together
   * are refused together.
   */
  private refuseGuilty (parts: readonly string[], now: number): readonly RefusedPart[] {
    const guilty = parts.filter(part => (this.evidence.get(part)!.refusedUntil ?? -Infinity) <= now && this.judgeOne(part, now) === 'refused')
    const best = guilty.filter(part => !guilty.some(other => other !== part && isBetterCause(this.listOpenLosses(other, now), this.listOpenLosses(part, now))))
    return best.map(part => this.refuse(part, now))
  }

  private refuse (part: string, now: number): RefusedPart {
    const known = this.evidence.get(part)!
    const common = known.losses.map(({ beside }) => beside).reduce((all, beside) => all.filter(other => beside.includes(other)))
    const beside = common.filter(other => this.countPasses(other, now) === 0)
    this.refused.add(part)
    this.verdicts.clear()
    this.evidence.set(part, { ...known, refusedAt: now, refusedUntil: now + REFUSAL_TIME * 2 ** known.refusals, refusals: known.refusals + 1, beside, trialsPassed: 0 })
    return this.findRefused(part, now)!
  }

  /** Whether the loss of a server is held against another part: one that is refused, or one that explains at least half of this part's other losses better. */
  private isExplained (loss: PartLoss, part: string, now: number): boolean {
    const refused = this.findRefusedFor(loss, now)
    if (refused.some(other => other !== part)) return true
    const losses = this.listOpenLosses(part, now)
    return [...this.evidence].some(([other, known]) => {
      if (other === part || !known.losses.some(its => isSameExit(its, loss)) || this.countPasses(other, now) > 0) return false
      const others = this.listOpenLosses(other, now)
      const common = losses.filter(its => others.some(same => isSameExit(its, same))).length
      return others.some(its => isSameExit(its, loss)) && common >= Math.max(MIN_COMMON_LOSSES, losses.length / 2) && isBetterCause(others, losses)
    })
  }

  /** Lists a part's losses that aren't held against another one that is refused. */
  private listOpenLosses (part: string, now: number): readonly PartLoss[] {
    return this.listLosses(part).filter(loss => !this.findRefusedFor(loss, now).some(other => other !== part))
  }

  private findRefusedFor (loss: PartLoss, now: number): readonly string[] {
    return [...this.refused].filter(part => {
      const { refusedUntil = -Infinity, losses } = this.evidence.get(part) ?? NOTHING
      return now < refusedUntil && losses.some(its => isSameExit(its, loss))
    })
  }

  /** Clears a refused part for which runs speak that weren't known when it was refused. */
  private clearIfSound (part: string, now: number): boolean {
    const known = this.evidence.get(part)
    if (known?.refusedUntil === undefined) return false
    const losses = known.losses.filter(loss => !this.isExplained(loss, part, now))
    const weights = this.weigh(part, losses, now)
    return judgePart({ ...known, losses, refusedUntil: undefined, refusals: 0 }, weights) === 'clear' && isProvedSound(weights, countMoments(losses)) && this.release(part, now)
  }

  private findRefused (part: string, now: number): RefusedPart | undefined {
    const { refusedUntil = -Infinity, beside, losses } = this.evidence.get(part) ?? NOTHING
    return refusedUntil <= now ? undefined : { part, until: refusedUntil, beside, losses: losses.map(({ server, at }) => ({ server, at })) }
  }

  private put (part: string, evidence: PartEvidence): void {
    this.evidence.delete(part)
    this.evidence.set(part, evidence)
    this.verdicts.clear()
    if (this.evidence.size > MAX_PARTS) this.drop(this.evidence.keys().next().value!)
  }

  private drop (part: string): void {
    this.evidence.delete(part)
    this.refused.delete(part)
    this.verdicts.clear()
  }
}

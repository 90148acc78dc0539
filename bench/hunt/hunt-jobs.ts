import { CallerClient } from '../../harness/caller-client.js'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'
import { dropMarks } from './drop-marks.js'
import type { HuntFleet } from './hunt-fleet.js'
import type { HuntJob } from './hunt-job.js'
import { ObservedResults } from './observed-results.js'

const MODEL = 'berth-assistant'
const TOKENS = 30
const POLL_PERIOD = 200 // ms
/** Attempts of a call, made at the entry addresses in turn. */
const MAX_ATTEMPTS = 60
/** Time in ms after the acknowledgement and the last trouble from which no item of a cancelled job may start. */
const CANCEL_BOUND = 6_000

/** Items that must have started before a job is cancelled; the cancellation of a job without running items would check nothing. */
const STARTED_BEFORE_CANCEL = 100

interface JobPlan { readonly name: string, readonly items: number, readonly onceEvery: number }

const PLANS: readonly JobPlan[] = [
  { name: 'drafts', items: 150, onceEvery: 0 },
  { name: 'letters', items: 80, onceEvery: 2 },
  { name: 'called off', items: 400, onceEvery: 0 }
]

/** Submits the jobs of a hunt, submits them again through other daemons, cancels one, and reads the results of all. */
export class HuntJobs {
  private readonly ids = new Map<string, string[]>()
  private readonly seen = new Map(PLANS.map(({ name }) => [name, new ObservedResults()]))
  private readonly ended = new Set<string>()
  private cancelledAt: number | undefined

  constructor (private readonly hunt: HuntFleet, private readonly urls: () => readonly string[], private readonly now: () => number) {}

  /** Submits each job through a different daemon, and retries until it is accepted. */
  async submitAll (): Promise<void> {
    await Promise.all(PLANS.map(async (plan, n) => await this.submit(plan, n)))
  }

  /** Submits every job again under the same key, as a client does that got no response. */
  async resubmitAll (): Promise<void> {
    await Promise.all(PLANS.map(async (plan, n) => await this.submit(plan, n + 1)))
  }

  /** Cancels the last job once enough of its items have started, or at `latest`, and retries until that is acknowledged. */
  async cancel (latest: number): Promise<void> {
    while (this.countStarts() < STARTED_BEFORE_CANCEL && this.now() < latest) await pause()
    const [id] = this.ids.get(PLANS.at(-1)!.name) ?? []
    const status = await this.ask(async client => (await client.call('POST', `/v1/batches/${id}/cancel`)).status < 300)
    if (status) this.cancelledAt = this.now()
  }

  /** Reads the results of every job repeatedly until it has ended. */
  async watchResults (): Promise<void> {
    await Promise.all(PLANS.map(async ({ name }, turn) => {
      for (let n = turn; !this.ended.has(name); n++) {
        const results = await this.readOnce(this.ids.get(name)?.[0] ?? '', n)
        if (!this.ended.has(name) && results !== undefined) {
          this.seen.get(name)!.record(results)
          this.seen.get(name)!.reads++
        }
        await pause()
      }
    }))
  }

  /** Waits for every job to end and returns its outcome. */
  async readAll (troublesEndedAt: number, limit: number): Promise<readonly HuntJob[]> {
    const checkFrom = Math.max(troublesEndedAt, this.cancelledAt ?? 0) + CANCEL_BOUND
    while (this.now() < checkFrom) await pause()
    const startsBefore = this.countStarts()
    const jobs = await Promise.all(PLANS.map(async plan => await this.read(plan, limit)))
    const lateStarts = this.countStarts() - startsBefore
    return jobs.map((job, n) => n === PLANS.length - 1 && this.cancelledAt !== undefined ? { ...job, lateStarts } : job)
  }

  private async submit (plan: JobPlan, turn: number): Promise<void> {
    await this.ask(async client => {
      const { id } = await client.submit(await client.upload(createLines(plan)), plan.name)
      this.ids.set(plan.name, [...this.ids.get(plan.name) ?? [], id])
      return true
    }, turn)
  }

  private countStarts (): number {
    const [id] = this.ids.get(PLANS.at(-1)!.name) ?? []
    return this.hunt.listRuns().ids.filter(run => run.startsWith(`${id}.`)).length
  }

  private async read (plan: JobPlan, limit: number): Promise<HuntJob> {
    const ids = this.ids.get(plan.name) ?? []
    let status = 'never accepted'
    while (this.now() < limit && !['completed', 'cancelled'].includes(status)) {
      await this.ask(async client => {
        status = (await client.readJob(ids[0]!)).status
        return true
      })
      await pause()
    }
    const once = listItems(plan).filter(({ once }) => once).map(({ id }) => id)
    this.ended.add(plan.name)
    const [first, again] = [await this.readResults(ids[0]!, 0), await this.readResults(ids[0]!, 1)]
    const seen = this.seen.get(plan.name)!
    seen.record(first)
    return {
      name: plan.name,
      ids,
      ended: status === 'completed' || status === 'cancelled',
      status,
      items: plan.items,
      results: first.map(line => ({ item: line.custom_id, wrong: findResultError(line, listAllowedErrors(once.includes(line.custom_id), status)), marked: readContent(line) })),
      reads: seen.reads,
      seen: seen.list(),
      sameBytes: JSON.stringify(first) === JSON.stringify(again),
      once,
      lateStarts: 0
    }
  }

  private async readResults (id: string, turn: number): Promise<readonly any[]> {
    let lines: readonly any[] = []
    await this.ask(async client => {
      lines = await readLines(client, id)
      return true
    }, turn)
    return lines
  }

  /** Returns the results so far from the daemon whose turn it is, or undefined if it doesn't answer. */
  private async readOnce (id: string, turn: number): Promise<readonly any[] | undefined> {
    const urls = this.urls()
    return await readLines(new CallerClient(urls[turn % urls.length]!, 'night-desk-token'), id).catch(() => undefined)
  }

  /** Calls one entry address after the other until a call returns true. Returns whether one did. */
  private async ask (what: (client: CallerClient) => Promise<boolean>, turn = 0): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const urls = this.urls()
      const client = new CallerClient(urls[(turn + attempt) % urls.length]!, 'night-desk-token')
      if (await what(client).catch(() => false)) return true
      await pause()
    }
    return false
  }
}

function listItems ({ items, onceEvery }: JobPlan): ReadonlyArray<{ readonly id: string, readonly once: boolean }> {
  return Array.from({ length: items }, (_, n) => ({ id: `item-${n}`, once: onceEvery > 0 && n % onceEvery === 0 }))
}

function createLines (plan: JobPlan): readonly unknown[] {
  return listItems(plan).map(({ id, once }) => ({
    custom_id: id,
    method: 'POST',
    url: '/v1/chat/completions',
    ...once && { idempotent: false },
    body: { model: MODEL, max_tokens: TOKENS, messages: [{ role: 'user', content: `Draft of ${id}` }] }
  }))
}

/** Returns the error codes that an item may have: `unknown` only if it may run once, `cancelled` only in a cancelled job. */
function listAllowedErrors (once: boolean, status: string): readonly string[] {
  return [...once ? ['unknown'] : [], ...status === 'cancelled' ? ['cancelled'] : []]
}

/** Returns the error of a wrong result, or undefined; `allowed` are the error codes with which this item may fail. */
function findResultError ({ custom_id: item, response, error }: any, allowed: readonly string[]): string | undefined {
  if (error !== null) return allowed.includes(error.code) ? undefined : `${error.code}: ${error.message}`
  const content = dropMarks(response.body.choices[0].message.content)
  return content === createAnswerWords(`Draft of ${item}`, TOKENS).join(' ') ? undefined : `wrong or truncated answer: ${content}`
}

function readContent ({ response, error }: any): string | undefined {
  return error === null ? response.body.choices[0].message.content : undefined
}

async function readLines (client: CallerClient, id: string): Promise<readonly any[]> {
  return [...await client.readResults(id, 'output'), ...await client.readResults(id, 'errors')]
}

async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, POLL_PERIOD))
}

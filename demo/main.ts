import type { MergedAccount } from '../src/admission/account/merged-account.js'
import { Fleet } from '../harness/fleet.js'
import { mergeTimelines } from '../src/observe/timeline/merge-timelines.js'
import { showTimeline } from '../src/observe/timeline/show-timeline.js'
import { checkBatchWork } from './check-batch-work.js'
import { Caller } from './caller.js'
import { Checks } from './checks.js'
import { runOnlineWork } from './online-work.js'
import { submitBatchWork } from './submit-batch-work.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const DAEMONS = 6
const ENGINES = 6
const ONLINE_REQUESTS = 240
const ITEMS = 500
const KILLED_DAEMON = 'entry-2'
const FOLDER = 'demo/folder'

async function startFleet (): Promise<Fleet> {
  const fleet = await Fleet.start()
  await Promise.all([
    ...Array.from({ length: ENGINES }, async (_, i) => await fleet.addServer(`engine-${i}`, DOMAINS[i % 3]!, { pool: 'charter-engines', kind: 'engine' })),
    fleet.addServer('tide-0', DOMAINS[0]!, { pool: 'tide-tables', kind: 'service' }),
    fleet.addServer('booking-0', DOMAINS[1]!, { pool: 'booking-desk', kind: 'service' }),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, DOMAINS[i % 3]!))
  ])
  await fleet.apply(FOLDER)
  return fleet
}

/** Runs online and batch work together, kills a daemon and an engine meanwhile, and returns the id of the batch job. */
async function runWork (fleet: Fleet, checks: Checks): Promise<string> {
  const entryUrls = fleet.daemons.map(daemon => fleet.url(daemon))
  const callers = ['quay-desk', 'night-desk', 'school-kitchen'].map(name => new Caller(entryUrls, name))
  const job = await submitBatchWork(fleet, ITEMS)
  await runOnlineWork(callers, ONLINE_REQUESTS / 4, checks)
  showProgress(`kills ${KILLED_DAEMON} and engine-1`)
  await fleet.kill(KILLED_DAEMON)
  await fleet.kill('engine-1')
  const { bookings } = await runOnlineWork(callers, ONLINE_REQUESTS, checks)
  await checkBatchWork(job, ITEMS, fleet, callers[1]!, checks)
  const runs = await fleet.readLog(fleet.servers.find(({ instance }) => instance.name === 'booking-0')!)
  const twice = bookings.filter(({ slot }) => runs.filter(({ body }) => body === JSON.stringify({ slot })).length > 1)
  checks.expect(twice.length === 0, `${bookings.length} bookings sent twice ran at most once each`, twice.map(({ slot, answers }) => `${slot}: ${answers.join(' | ')}`).slice(0, 2).join('; '))
  const answered = bookings.filter(({ answers }) => answers.some(answer => answer.startsWith('200')))
  const unlogged = answered.filter(({ slot }) => !runs.some(({ body }) => body === JSON.stringify({ slot })))
  checks.expect(unlogged.length === 0 && answered.length > 0, 'each confirmed booking ran', `${answered.length} of ${bookings.length} confirmed`)
  return job
}

/** Checks and prints the usage account of the fleet once the daemons have flushed their counts. */
async function checkAccount (fleet: Fleet, batchItems: number, checks: Checks): Promise<void> {
  const read = async (): Promise<MergedAccount> => await fleet.operator('GET', listLive(fleet)[0]!, '/operator/account')
  const addUp = ({ rows }: MergedAccount, work: 'online' | 'batch', pick: (row: MergedAccount['rows'][string]) => number): number => {
    return Object.entries(rows).filter(([name]) => name.endsWith(`/${work}`)).reduce((sum, [, row]) => sum + pick(row), 0)
  }
  const countDone = (account: MergedAccount): number => addUp(account, 'batch', ({ answered, failed }) => answered + Object.values(failed).reduce((sum, n) => sum + n, 0))
  const least = ONLINE_REQUESTS + ONLINE_REQUESTS / 4
  const covers = async (): Promise<boolean> => countDone(await read()) >= batchItems
  // The account lacks what the killed daemon had counted since its last flush; `mayMiss` bounds that.
  await fleet.waitUntil(covers).catch(() => {})
  const account = await read()
  const [asked, done] = [addUp(account, 'online', row => row.asked), countDone(account)]
  checks.expect(asked + account.mayMiss.asked >= least && done === batchItems, 'the account has every batch item, and all online requests but for at most its stated bound', `${asked} online, ${done} batch items, may miss ${account.mayMiss.asked}`)
  console.log('\naccount by caller, service and kind of work:')
  for (const [name, { asked, answered, tokens, refused, failed }] of Object.entries(account.rows).sort()) {
    console.log(`  ${name.padEnd(42)} asked ${asked}, answered ${answered}, tokens ${tokens}, refused ${JSON.stringify(refused)}, failed ${JSON.stringify(failed)}`)
  }
}

/** Lists the daemons that weren't killed, in the order in which they started. */
function listLive (fleet: Fleet): Fleet['daemons'] {
  return fleet.daemons.filter(({ instance }) => instance.name !== KILLED_DAEMON)
}

async function showReports (fleet: Fleet, job: string): Promise<void> {
  const live = listLive(fleet)
  const timelines = await Promise.all(live.map(async daemon => (await fleet.operator('GET', daemon, `/operator/timeline?job=${job}`)).events))
  const events = mergeTimelines(timelines)
  console.log(`\ntimeline of ${job}, the first and the last of ${events.length} events:`)
  console.log(showTimeline([...events.slice(0, 5), ...events.slice(-5)]))
}

function showProgress (sentence: string): void {
  console.log(`demo: ${sentence}`)
}

async function runDemo (): Promise<number> {
  const start = Date.now()
  const checks = new Checks()
  showProgress(`starts a platform, ${ENGINES} engines, 2 services and ${DAEMONS} daemons`)
  const fleet = await startFleet()
  // Ctrl-C stops the fleet as well.
  process.once('SIGINT', () => { void fleet.stop().then(() => process.exit(130)) })
  try {
    const job = await runWork(fleet, checks)
    await checkAccount(fleet, ITEMS, checks)
    await showReports(fleet, job)
  } finally {
    await fleet.stop()
  }
  console.log(`\n${checks.show()}`)
  showProgress(`${checks.allHold ? 'every check holds' : 'some checks FAILED'}, ${((Date.now() - start) / 1_000).toFixed(1)} s`)
  return checks.allHold ? 0 : 1
}

void runDemo().then(code => process.exit(code), error => {
  console.error(error)
  process.exit(1)
})

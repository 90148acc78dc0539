import test from 'ava'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const DAEMONS = 3
const REQUESTS = 25
const TOKENS = 4

// The account must equal the engine's log while every daemon runs. After one is killed, only its unflushed counts may be missing,
// and no more than the account states.
test('the account equals the engine\'s log, except for a stated bound on what a killed daemon held', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const [engine] = await Promise.all([
    fleet.addServer('engine-0', 'domain-0', { pool: 'charter-engines', kind: 'engine' }),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, `domain-${i}`))
  ])
  const configuration = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...configuration, limits: { ...configuration.limits, addressKeep: 500 } })
  for (const daemon of fleet.daemons) {
    const client = new CallerClient(fleet.url(daemon), 'quay-desk-token')
    await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => t.is((await client.chat('berth-assistant', `Question ${i}`, { tokens: TOKENS, stream: i % 2 === 0 })).status, 200)))
  }
  const [asked, ended, killed] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0], typeof fleet.daemons[0]]
  const runs = (await fleet.readLog(engine)).length
  t.is(runs, DAEMONS * REQUESTS)
  const exact = await fleet.operator('GET', asked!, '/operator/account?caller=quay-desk')
  t.is(exact.rows['quay-desk/berth-assistant/online'].answered, runs)
  t.deepEqual(exact.mayMiss, { asked: 0, runs: [] })
  t.deepEqual(exact.silent, [])

  killed!.child.signal('SIGKILL')
  ended!.child.signal('SIGTERM')
  t.is(await ended!.child.waitForExit(), 0)

  const { rows, mayMiss, whole } = await fleet.operator('GET', asked!, '/operator/account?caller=quay-desk')
  const row = rows['quay-desk/berth-assistant/online']
  t.true(whole)
  t.is(row.answered, row.asked)
  t.is(row.tokens, row.answered * TOKENS)
  t.true(row.answered >= 2 * REQUESTS)
  t.is(mayMiss.runs.length, 1)
  t.true(row.answered <= runs && runs - row.answered <= mayMiss.asked, `${runs} runs, ${row.answered} answered, may miss ${mayMiss.asked}`)

  const command = await promisify(execFile)(process.execPath, ['dist/citronwheel.cjs', 'account', '--entry', fleet.url(asked!), '--token', fleet.operatorToken, '--caller', 'quay-desk'])
  t.regex(command.stdout, new RegExp(`quay-desk/berth-assistant/online  ${row.asked} asked  ${row.answered} answered  ${row.tokens} tokens`))
  t.regex(command.stdout, /up to \d+ online requests may be missing, from 1 run/)
  t.log({ runs, answered: row.answered, mayMiss })
})

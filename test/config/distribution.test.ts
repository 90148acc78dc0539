import 'reflect-metadata'
import test from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { request } from 'undici'
import { Fleet } from '../../harness/fleet.js'
import { runProgram } from '../../src/commands/run-program.js'

type Daemon = Fleet['daemons'][number]

const DOMAINS = ['domain-a', 'domain-b']
const LIMIT = 3_000
const TOKEN = '24eb5512b3a677c8f2247588f05d72a8d64ced5dd80e464e52d6d53ab283363b'
const files = (deadline: number): Record<string, string> => ({ 'services.yaml': 'services: { tides: { kind: plain, pool: tide-tables } }\n', 'callers.yaml': `callers: { quay-desk: { tokens: ['${TOKEN}'] } }\n`, 'limits.yaml': `limits: { deadline: ${deadline} }\n` })

async function start (t: { teardown: (end: () => Promise<void>) => void }, daemons: number): Promise<Fleet> {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  await Promise.all(Array.from({ length: daemons }, async (_, i) => await fleet.addDaemon(`entry-${i}`, DOMAINS[i % 2]!)))
  return fleet
}

const put = async (fleet: Fleet, daemon: Daemon, basedOn: number, deadline: number): Promise<number> => (await fleet.operator('PUT', daemon, '/operator/configuration', { basedOn, put: files(deadline) })).version
const read = async (fleet: Fleet, daemon: Daemon): Promise<number> => (await fleet.operator('GET', daemon, '/operator/configuration')).version
const ask = async (fleet: Fleet, daemon: Daemon, path: string): Promise<number> => (await request(fleet.url(daemon) + path, { headers: { authorization: 'Bearer quay-desk-token' } })).statusCode

test('a daemon started during a platform outage gets the configuration from its peers and is not ready before', async t => {
  // An instance is replaced while the platform is unavailable. A daemon that waited for the platform would not serve
  // until the outage ends.
  const fleet = await start(t, 3)
  await fleet.addServer('tide-0', DOMAINS[0]!, { pool: 'tide-tables', kind: 'service' })
  t.is(await ask(fleet, fleet.daemons[0]!, '/v1/models'), 503)
  const version = await put(fleet, fleet.daemons[0]!, 0, 900)
  await fleet.waitUntil(async () => (await Promise.all(fleet.daemons.map(async daemon => await ask(fleet, daemon, '/services/tides/today')))).every(status => status === 200))
  await fleet.setPlatformFaults({ outage: 'refused' })
  const seeds = fleet.daemons.map(({ instance }) => ({ name: instance.name, host: instance.host, peerPort: instance.peerPort, failureDomain: instance.failureDomain }))
  const late = await fleet.addDaemon('entry-late', DOMAINS[0]!, { seeds })
  await fleet.waitUntil(async () => await ask(fleet, late, '/readyz') === 200)
  t.is(await read(fleet, late), version)
  t.is(await ask(fleet, late, '/v1/models'), 200)
  await fleet.waitUntil(async () => await ask(fleet, late, '/services/tides/today') === 200)
  await t.throwsAsync(put(fleet, late, version, 800), { message: /not-accepted/ })
})

test('a change reaches all daemons in seconds, and a paused daemon never reverts to an older version', async t => {
  // Watches are unresponsive, reads are stale, and one daemon is paused while a version is accepted. When it resumes, it
  // must get the version from its peers at once and must not activate a stale read.
  const fleet = await start(t, 4)
  let version = await put(fleet, fleet.daemons[0]!, 0, 900)
  await fleet.waitUntil(async () => (await Promise.all(fleet.daemons.map(async daemon => await read(fleet, daemon)))).every(known => known === version))
  await fleet.setPlatformFaults({ silentWatches: true })
  fleet.daemons[3]!.child.signal('SIGSTOP')
  const began = Date.now()
  version = await put(fleet, fleet.daemons[0]!, version, 800)
  await fleet.waitUntil(async () => (await Promise.all(fleet.daemons.slice(0, 3).map(async daemon => await read(fleet, daemon)))).every(known => known === version))
  const reached = Date.now() - began
  t.log(`unresponsive watches: ${reached} ms until it was active on 3 daemons`)
  t.true(reached < LIMIT)
  await fleet.setPlatformFaults({ oldReads: { share: 1, lag: 60_000 } })
  fleet.daemons[3]!.child.signal('SIGCONT')
  await fleet.waitUntil(async () => await read(fleet, fleet.daemons[3]!) === version)
  // While paused it was considered dead, and only live members are queried.
  await fleet.waitForMembers()
  const reach = await fleet.operator('GET', fleet.daemons[0]!, `/operator/configuration/reach?version=${version}`)
  t.deepEqual(reach, { version, acting: ['entry-0', 'entry-1', 'entry-2', 'entry-3'], behind: [], silent: [] })
})

test('apply: shows the difference, accepts a change, and refuses one based on an older version', async t => {
  const fleet = await start(t, 2)
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-apply-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const apply = async (deadline: number, ...words: string[]): Promise<{ code: number, text: string }> => {
    for (const [name, text] of Object.entries(files(deadline))) writeFileSync(join(folder, name), text)
    return await run('apply', folder, ...words)
  }
  const run = async (...words: string[]): Promise<{ code: number, text: string }> => {
    const out = new PassThrough()
    const code = await runProgram([...words, '--entry', fleet.url(fleet.daemons[1]!), '--token', fleet.operatorToken], { stdout: out, stderr: out })
    return { code, text: String(out.read()) }
  }
  await fleet.waitUntil(async () => (await fleet.operator('GET', fleet.daemons[1]!, '/operator/status')).members.length === 2)
  t.is((await apply(1)).code, 1)
  t.is((await apply(900)).code, 2)
  const first = await apply(900, '--yes')
  t.is(first.code, 0, first.text)
  t.regex(first.text, /active on 2 daemons/)
  const shown = await apply(800, '--diff')
  t.regex(shown.text, /set {5}limits\.yaml\n {2}limits\.deadline: 900 -> 800 {2}\(limits\.yaml:1\)/)
  const { version } = await fleet.operator('GET', fleet.daemons[1]!, '/operator/configuration')
  await put(fleet, fleet.daemons[0]!, version, 700)
  const overtaken = await apply(800, '--yes', '--based-on', String(version))
  t.is(overtaken.code, 4)
  t.regex(overtaken.text, /since then limits\.yaml changed/)
  t.regex((await run('history')).text, new RegExp(`^${version}  \\S+Z  \\S+  callers\\.yaml, limits\\.yaml, services\\.yaml\\n\\d+  \\S+Z  unnamed  limits\\.yaml\\n$`))
})

test('concurrent changes through two daemons while replies to writes are lost: each outcome is reported correctly', async t => {
  // Two changes of one version are made at once through two daemons, and half of the platform's replies to writes are
  // lost after the write. An outcome derived from the version alone would report an accepted change as refused.
  const fleet = await start(t, 2)
  let version = await put(fleet, fleet.daemons[0]!, 0, 900)
  await fleet.setPlatformFaults({ lostReplies: 0.5, seed: 4 })
  const responses: Array<{ readonly by: string, readonly status: number }> = []
  for (let round = 0; round < 6; round++) {
    await Promise.all(fleet.daemons.map(async (daemon, i) => {
      const by = `operator-${round}-${i}`
      const body = JSON.stringify({ basedOn: version, put: { 'limits.yaml': `limits: { deadline: ${1_000 + 10 * round + i} }\n` }, by })
      const answer = await request(`${fleet.url(daemon)}/operator/configuration`, { method: 'PUT', headers: { authorization: `Bearer ${fleet.operatorToken}` }, body })
      await answer.body.dump()
      responses.push({ by, status: answer.statusCode })
    }))
    version = (await fleet.control('GET', '/objects/configuration/manifest')).version
  }
  const manifest = await fleet.control('GET', '/objects/configuration/manifest')
  const accepted: readonly string[] = manifest.value.changes.map(({ by }: { readonly by: string }) => by)
  t.log(`answers: ${responses.map(({ status }) => status).join(' ')}`)
  for (const { by, status } of responses) {
    if (status === 200) t.true(accepted.includes(by), `${by} was reported as accepted`)
    if (status === 409 || status === 503) t.false(accepted.includes(by), `${by} was reported as not accepted`)
  }
  t.true(responses.some(({ status }) => status === 200))
  await fleet.waitUntil(async () => (await Promise.all(fleet.daemons.map(async daemon => await read(fleet, daemon)))).every(known => known === manifest.version))
})

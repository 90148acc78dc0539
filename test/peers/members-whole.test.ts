import test from 'ava'
import { request } from 'undici'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

// Daemons are killed, paused and resumed while the platform's list still names them, and then the platform is down. Callers
// must not be sent to a daemon that doesn't answer, and must be sent to it again once it is back.
test('addresses follow the daemons that answer, not the platform\'s list', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  for (const n of [0, 1, 2]) await fleet.addDaemon(`entry-${n}`, `domain-${n}`)
  await fleet.apply(readFolder('demo/folder').unwrap())
  const [asked, killed, paused] = fleet.daemons
  const urls = async (): Promise<readonly string[]> => {
    const { addresses } = await (await request(`${fleet.url(asked!)}/v1/addresses`)).body.json() as { addresses: { url: string }[] }
    return addresses.map(({ url }) => url).sort()
  }
  const becomes = async (...daemons: typeof fleet.daemons): Promise<void> => {
    const expected = daemons.map(daemon => fleet.url(daemon)).sort().join()
    await fleet.waitUntil(async () => (await urls()).join() === expected)
  }
  await becomes(asked!, killed!, paused!)
  killed!.child.signal('SIGKILL')
  await becomes(asked!, paused!)
  await fleet.setPlatformFaults({ outage: 'refused' })
  paused!.child.signal('SIGSTOP')
  await becomes(asked!)
  paused!.child.signal('SIGCONT')
  await becomes(asked!, paused!)
  t.pass()
})

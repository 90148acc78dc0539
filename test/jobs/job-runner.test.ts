import 'reflect-metadata'
import test from 'ava'
import { Err } from 'ts-results'
import type { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import type { Route } from '../../src/config/route.js'
import { ItemPace } from '../../src/jobs/item-pace.js'
import { JobRunner } from '../../src/jobs/job-runner.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { pauseFor } from '../../src/kernel/pause-for.js'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ServerLoads } from '../../src/placement/server-loads.js'
import type { SlotAsker } from '../../src/placement/slot-asker.js'
import type { Sender } from '../../src/routing/sender.js'
import type { ServerDialect } from '../../src/routing/server-dialect.js'
import type { ServerRequest } from '../../src/routing/server-request.js'
import type { Servers } from '../../src/routing/servers.js'
import { JobFleet } from '../helpers/job-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const route: Route = {
  host: 'h',
  pathPrefix: '/jobs/',
  services: [{ service: 'pool', weight: 1 }],
  streamed: true,
  idempotent: true,
  resumable: true,
  attempts: 3,
  timeout: 0,
  target: 300,
  priority: 2,
  jobs: { dueAfter: 18_000, giveUpAfter: 0, maxWaitingTokens: 0 }
}

/** A runner with one job; its asker grants a slot whenever the test says so, and each request waits for its connection. */
class Runner {
  readonly clock = new VirtualClock()
  readonly job: OwnedJob
  asked = 0
  sent = 0
  withheld = 0
  private grant: SlotAsker['subscribe'] extends (listener: infer Listener) => void ? Listener | undefined : never

  constructor (connectTime: number) {
    const { clock } = this
    const asker = { subscribe: (listener: Runner['grant']) => { this.grant = listener }, askBatch: () => { this.asked++ } } as unknown as SlotAsker
    const sender = {
      send: async (_server: unknown, { mayStart }: ServerRequest) => {
        await pauseFor(clock, connectTime)
        const may = mayStart!()
        if (may) this.sent++
        else this.withheld++
        return Err({ why: may ? 'cut' : 'withheld', sent: may, detail: '' })
      }
    } as unknown as Sender
    const servers = { find: (name: string) => ({ name }) } as unknown as Servers
    const loads = { isOpen: () => true, markFull: () => {} } as unknown as ServerLoads
    const configuration = { value: { version: 1, routes: { route } } } as unknown as ConfigurationHolder
    const dialect = { buildHeaders: () => ({}) } as unknown as ServerDialect
    const runner = new JobRunner(loads, asker, sender, servers, configuration, new ItemPace(), new PauseWatch(clock), new Metrics(), dialect, { write: () => {} }, clock, new Random(1))
    void runner.start()
    const head = { host: 'h', path: '/jobs/', submittedAt: clock.date(), parts: 1, total: 6, tokens: 60, owner: 'd', run: 1 }
    this.job = new OwnedJob({ id: 'j', head, items: JobFleet.items, segments: [], acceptedAt: clock.now(), openAt: clock.now() })
    runner.add(this.job)
  }

  give (): void {
    this.grant!.onGrant('pool', 's')
  }
}

// Guards against a request that waited for its connection until the look at its job was too old.
test('an item whose look grew old while it waited for a connection is withheld', async t => {
  for (const [connectTime, sent] of [[2_000, 1], [3_000, 0]] as const) {
    const runner = new Runner(connectTime)
    runner.give()
    await runner.clock.advance(connectTime + 1)
    t.deepEqual({ sent: runner.sent, withheld: runner.withheld }, { sent, withheld: 1 - sent })
  }
})

// Guards against slots that are taken from others for items that may not start.
test('no slot is asked for while no look is fresh, and items go on with the next', async t => {
  const runner = new Runner(1)
  await runner.clock.advance(2_000)
  t.true(runner.asked > 0)
  await runner.clock.advance(1_000)
  const { asked } = runner
  await runner.clock.advance(2_000)
  t.is(runner.asked, asked)
  runner.give()
  await runner.clock.advance(10)
  t.is(runner.sent, 0)
  runner.job.look = { seen: runner.clock.now(), unreachable: false }
  await runner.clock.advance(1_000)
  t.true(runner.asked > asked)
  runner.give()
  await runner.clock.advance(10)
  t.is(runner.sent, 1)
})

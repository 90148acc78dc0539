import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const [OWNER, READER] = [names[0]!, names[1]!]
const PAUSE = 2_000

// Guards against an empty page that another daemon answered before the process that passes it on was paused.
for (const counted of [true, false]) {
  for (const delay of [0, 1, 2]) {
    test(`a daemon that is paused ${delay} ms after it asked for a page passes no outdated one on (monotonic clock ${counted ? 'runs on' : 'stops'})`, async t => {
      const fleet = new JobFleet()
      await fleet.start()
      await fleet.daemons.get(OWNER)!.owner.accept('j', { host: 'h', path: '/jobs/' }, items)
      await fleet.time.advance(1_000)
      fleet.findLatency = () => 3
      fleet.daemons.get(OWNER)!.owner.find('j')!.ended = true
      let seen: readonly string[] | string = 'pending'
      void fleet.daemons.get(READER)!.reader.readResults('j', 0, 0).then(page => { seen = page.ok ? page.val.results.map(({ id }) => id) : page.val })
      await fleet.time.advance(delay)
      await fleet.pause(READER, PAUSE, counted)
      await fleet.time.advance(500)
      t.is(seen, 'pending')
      fleet.store.objects.write('job-results', 'j.0', [{ id: 'a', state: 'completed', text: 'by d3' }], 0)
      await fleet.time.advance(PAUSE + 1_500)
      t.true(seen === 'unsure' || (seen as unknown as readonly string[]).join() === 'a', `the answer is ${JSON.stringify(seen)}`)
    })
  }
}

import test from 'ava'
import 'reflect-metadata'
import { buildTimelinePage } from '../../src/observe/build-timeline-page.js'
import { filterRelatedEvents } from '../../src/observe/filter-related-events.js'
import { mergeTimelines } from '../../src/observe/merge-timelines.js'
import { showTimeline } from '../../src/observe/show-timeline.js'
import { Timeline } from '../../src/observe/timeline.js'
import type { Settings } from '../../src/kernel/settings.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

function createTimeline (instance: string, clock = new VirtualClock()): Timeline {
  return new Timeline(clock, { instance } as unknown as Settings)
}

test('an event that a message caused stands after its cause, although the receiver\'s clock is behind', async t => {
  const ahead = new VirtualClock()
  await ahead.advance(60_000)
  const sender = createTimeline('entry-0', ahead)
  const receiver = createTimeline('entry-1')
  sender.record({ part: 'routing', what: 'told the owner', request: 'r' })
  receiver.observe(sender.tick())
  receiver.record({ part: 'ownership', what: 'gave way', request: 'r' })
  const merged = mergeTimelines([receiver.find(), sender.find()])
  t.deepEqual(merged.map(({ what }) => what), ['told the owner', 'gave way'])
})

test('only the events of the request or job asked for are found', t => {
  const timeline = createTimeline('entry-0')
  timeline.record({ part: 'entry', what: 'asked', request: 'a' })
  timeline.record({ part: 'batch', what: 'claimed', job: 'j' })
  t.deepEqual(timeline.find({ request: 'a' }).map(({ what }) => what), ['asked'])
  t.deepEqual(timeline.find({ job: 'j' }).map(({ what }) => what), ['claimed'])
  t.is(timeline.find().length, 2)
})

test('the page holds every event, with text from callers escaped, and nothing from outside', t => {
  const timeline = createTimeline('entry-0')
  timeline.record({ part: 'entry', what: 'asked', request: 'r', detail: '<script>' })
  timeline.record({ part: 'entry', what: 'answered', request: 'r' })
  const page = buildTimelinePage('request r', timeline.find())
  t.true(page.includes('entry: asked') && page.includes('entry: answered') && page.includes('&lt;script&gt;'))
  t.false(/<script|src=|href=/.test(page))
  t.regex(showTimeline(timeline.find()), /\+0\.0 ms {2}entry-0 {2}entry: asked {2}request=r <script>/)
})

// A daemon is killed while it holds a chunk of a job, and tells nothing of it. Who reads the job's time line sees why it
// stood still from what the others saw of that daemon and of servers meanwhile, and nothing of before and after.
test('a job\'s time line has what happened to servers and daemons meanwhile', async t => {
  const clock = new VirtualClock()
  const timeline = createTimeline('entry-0', clock)
  const record = async (event: Parameters<Timeline['record']>[0]): Promise<void> => {
    timeline.record(event)
    await clock.advance(1_000)
  }
  await record({ part: 'peers', what: 'suspect', detail: 'entry-8' })
  await clock.advance(10_000)
  await record({ part: 'batch', what: 'accepted', job: 'j' })
  await record({ part: 'peers', what: 'dead', detail: 'entry-1' })
  await record({ part: 'ownership', what: 'server down', server: 'engine-1' })
  await record({ part: 'ownership', what: 'claimed', server: 'engine-2' })
  await record({ part: 'entry', what: 'asked', request: 'r' })
  await record({ part: 'batch', what: 'completed', job: 'j' })
  await record({ part: 'peers', what: 'dead', detail: 'entry-9' })
  t.deepEqual(filterRelatedEvents(timeline.find({ job: 'j', around: true })).map(({ what }) => what), ['accepted', 'dead', 'server down', 'completed'])
  t.deepEqual(filterRelatedEvents(timeline.find({ job: 'k', around: true })), [])
})

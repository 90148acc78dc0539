import test from 'ava'
import 'reflect-metadata'
import { buildTimelinePage } from '../../src/observe/build-timeline-page.js'
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

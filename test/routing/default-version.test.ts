import test from 'ava'
import { planDefaultVersion } from '../../src/routing/origins/plan-default-version.js'

// Guards against a default at which streams of another version would go on, since they have no record.
const rows = [
  { name: 'the first of a pool with one version', view: { current: undefined, recent: ['v1'], isWholeTimeKnown: false }, planned: 'v1' },
  { name: 'none while a pool has two versions', view: { current: undefined, recent: ['v1', 'v2'], isWholeTimeKnown: true }, planned: undefined },
  { name: 'none without servers', view: { current: undefined, recent: [], isWholeTimeKnown: true }, planned: undefined },
  { name: 'the same while the pool has others too', view: { current: 'v1', recent: ['v1', 'v2'], isWholeTimeKnown: true }, planned: undefined },
  { name: 'the same while its streams may be resumed', view: { current: 'v1', recent: ['v2'], isWholeTimeKnown: false }, planned: undefined },
  { name: 'the same while two others serve', view: { current: 'v1', recent: ['v2', 'v3'], isWholeTimeKnown: true }, planned: undefined },
  { name: 'the next one once none of its streams can be resumed', view: { current: 'v1', recent: ['v2'], isWholeTimeKnown: true }, planned: 'v2' },
  { name: 'the same while it is alone', view: { current: 'v1', recent: ['v1'], isWholeTimeKnown: true }, planned: undefined }
]

for (const { name, view, planned } of rows) {
  test(`the default version of streams is ${name}`, t => {
    t.is(planDefaultVersion(view), planned)
  })
}

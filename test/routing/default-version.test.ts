import test from 'ava'
import { isWithdrawalDue } from '../../src/routing/origins/is-withdrawal-due.js'
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
  { name: 'none while streams without a record may be resumed', view: { current: undefined, isWithdrawn: true, recent: ['v2'], isWholeTimeKnown: false }, planned: undefined },
  { name: 'the only one once they no longer can', view: { current: undefined, isWithdrawn: true, recent: ['v2'], isWholeTimeKnown: true }, planned: 'v2' },
  { name: 'the same while it is alone', view: { current: 'v1', recent: ['v1'], isWholeTimeKnown: true }, planned: undefined }
]

for (const { name, view, planned } of rows) {
  test(`the default version of streams is ${name}`, t => {
    t.is(planDefaultVersion(view), planned)
  })
}

// Guards against streams that begin elsewhere, have no record, and go on at the default version once its servers are back.
const withdrawals = [
  { name: 'kept while it has servers', view: { current: 'v1', isWithdrawn: false, listed: ['v1', 'v2'], isRecordedInTime: true }, withdrawn: false },
  { name: 'kept while there are no servers', view: { current: 'v1', isWithdrawn: false, listed: [], isRecordedInTime: true }, withdrawn: false },
  { name: 'withdrawn while only others have servers', view: { current: 'v1', isWithdrawn: false, listed: ['v2'], isRecordedInTime: true }, withdrawn: true },
  { name: 'withdrawn where several versions serve before one is set', view: { current: undefined, isWithdrawn: false, listed: ['v1', 'v2'], isRecordedInTime: true }, withdrawn: true },
  { name: 'not withdrawn twice', view: { current: undefined, isWithdrawn: true, listed: ['v1', 'v2'], isRecordedInTime: true }, withdrawn: false },
  { name: 'kept in a large fleet while it is the only version', view: { current: 'v1', isWithdrawn: false, listed: ['v1'], isRecordedInTime: false }, withdrawn: false },
  { name: 'withdrawn in a large fleet while others serve too', view: { current: 'v1', isWithdrawn: false, listed: ['v1', 'v2'], isRecordedInTime: false }, withdrawn: true }
]

for (const { name, view, withdrawn } of withdrawals) {
  test(`a default version of streams is ${name}`, t => { t.is(isWithdrawalDue(view), withdrawn) })
}

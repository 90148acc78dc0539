import test from 'ava'
import { indexVersions } from '../../src/store/index-versions.js'

const stated = { name: 'a', pool: 'p', version: 'v1', startedAt: 1_000 }

function findVersion (startedAt: number | undefined, others: Parameters<typeof indexVersions>[0] = [stated]): string | undefined {
  return indexVersions([...others, { name: 'b', pool: 'p', ...startedAt !== undefined && { startedAt } }]).get('b')
}

// Guards against a stream that goes on at another version because its server, which states none, has started again under its name.
test('a server that states no version is another version after a restart', t => {
  t.is(findVersion(1_000), '?b@1000')
  t.is(findVersion(2_000), '?b@2000')
})

// Guards against servers that can't be told apart, or are told apart without need.
test('servers that state no version are versions of their own only beside servers that state one', t => {
  t.is(findVersion(undefined), '?b')
  t.is(findVersion(1_000, []), '')
  t.is(findVersion(1_000, [{ ...stated, pool: 'other' }]), '')
  t.is(indexVersions([stated]).get('a'), 'v1')
})

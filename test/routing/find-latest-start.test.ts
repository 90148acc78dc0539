import test from 'ava'
import { findLatestStart } from '../../src/routing/ending/find-latest-start.js'

type Inputs = Parameters<typeof findLatestStart>[0]
interface Case { readonly name: string, readonly inputs: Inputs, readonly latest: number }

const cases: readonly Case[] = [
  { name: 'the process is not ending: no limit', inputs: { endsAt: undefined, deadline: 60_000, longest: undefined, repeatable: false }, latest: Infinity },
  { name: 'its own time is over before the process ends: no limit', inputs: { endsAt: 8_000, deadline: 8_000, longest: 9_000, repeatable: false }, latest: Infinity },
  { name: 'nothing is known of its route: it does not start', inputs: { endsAt: 8_000, deadline: 8_001, longest: undefined, repeatable: true }, latest: -Infinity },
  { name: 'others took 3 s, and it would be lost: it may take a fifth more', inputs: { endsAt: 8_000, deadline: 9_000, longest: 3_000, repeatable: false }, latest: 4_400 },
  { name: 'others took 3 s, and it may be repeated: it may take a twentieth more', inputs: { endsAt: 8_000, deadline: 9_000, longest: 3_000, repeatable: true }, latest: 4_850 },
  { name: 'others took longer than all the time there is: it does not start', inputs: { endsAt: 8_000, deadline: 30_000, longest: 7_500, repeatable: false }, latest: -1_000 },
  { name: 'others took no time: it has time for the way', inputs: { endsAt: 8_000, deadline: 9_000, longest: 2, repeatable: false }, latest: 7_700 }
]

// Guards against a request that starts and is cut, and against one that is refused though it would end in time.
for (const { name, inputs, latest } of cases) {
  test(name, t => {
    t.is(findLatestStart(inputs), latest)
  })
}

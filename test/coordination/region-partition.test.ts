import test from 'ava'
import { RegionTrial } from '../helpers/simulate-regions.js'

const SECOND = 1_000
const PARTITION = 300 * SECOND
const SIZE = 40

const isSorted = (versions: readonly number[]): boolean => versions.every((version, i) => i === 0 || version > versions[i - 1]!)

// The link between two regions fails for five minutes, while operators change the configuration through the north,
// which alone reaches the store. After the link heals, the south must catch up and both must find each other again,
// without flooding the store or the network.
test('two regions partitioned for five minutes keep serving, revert nothing, and soon agree again', t => {
  const trial = new RegionTrial(SIZE, 60)
  const { members } = trial
  trial.run(60 * SECOND)
  t.true(members.names.every(name => members.agree(name, 'alive')))
  const quiet = measure(trial, 20 * SECOND)
  trial.cut = true
  let [ownerless, foreign] = [0, 0]
  for (let version = 2; version <= 7; version++) {
    trial.platform = { version, parts: [`part-${version}`], body: {} }
    trial.run(PARTITION / 6, () => {
      for (const name of members.names) {
        for (const server of trial.servers.filter(({ region }) => region === trial.findRegion(name))) {
          const owner = trial.findOwner(name, server.name)
          if (owner === undefined) ownerless++
          else if (trial.findRegion(owner) !== server.region) foreign++
        }
      }
    })
  }
  t.deepEqual([ownerless, foreign], [0, 0], 'servers without an owner, or with one that cannot reach them')
  const north = members.names.filter(name => trial.findRegion(name) === 'north')
  t.true(members.names.every(name => trial.acted.get(name)!.at(-1) === (north.includes(name) ? 7 : 1)))
  t.true(members.names.every(name => trial.listSeen(name).length === SIZE / 2))
  const healed = heal(trial)
  t.log(JSON.stringify({ quiet, ...healed }))
  t.true(members.names.every(name => isSorted(trial.acted.get(name)!)))
  t.true(healed.configured > 0 && healed.configured <= 15 * SECOND, `the last daemon acted on the newest version after ${healed.configured} ms`)
  t.true(healed.whole > 0 && healed.whole <= 60 * SECOND, `all saw all after ${healed.whole} ms`)
  t.true(healed.calls <= quiet.calls * 3 + SIZE, `${healed.calls} calls of the platform in a minute, ${quiet.calls} in 20 quiet seconds`)
  t.true(healed.worstSecond <= 5_000 * SIZE, `${healed.worstSecond} bytes in the worst second`)
})

function measure (trial: RegionTrial, time: number): { readonly calls: number, readonly bytes: number } {
  const [calls, bytes] = [trial.calls, trial.members.bytes + trial.versionBytes]
  trial.run(time)
  return { calls: trial.calls - calls, bytes: trial.members.bytes + trial.versionBytes - bytes }
}

/** Measures the minute after the partition; times in ms, 0 for never. */
function heal (trial: RegionTrial): { readonly configured: number, readonly whole: number, readonly calls: number, readonly worstSecond: number } {
  const { members } = trial
  const [start, calls] = [members.now, trial.calls]
  let [configured, whole, worstSecond] = [0, 0, 0]
  trial.cut = false
  while (members.now < start + 60 * SECOND) {
    const before = members.bytes + trial.versionBytes
    trial.run(SECOND, () => {
      if (configured === 0 && members.names.every(name => trial.acted.get(name)!.at(-1) === trial.platform.version)) configured = members.now - start
      if (whole === 0 && members.names.every(name => members.agree(name, 'alive'))) whole = members.now - start
    })
    worstSecond = Math.max(worstSecond, members.bytes + trial.versionBytes - before)
  }
  return { configured, whole, calls: trial.calls - calls, worstSecond }
}

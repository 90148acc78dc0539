import test from 'ava'
import { RegionSimulation } from '../helpers/simulate-regions.js'

const SECOND = 1_000
const PARTITION = 300 * SECOND
const SIZE = 40

const isSorted = (versions: readonly number[]): boolean => versions.every((version, i) => i === 0 || version > versions[i - 1]!)

// The configuration changes while one of two regions is cut off from the store. After the partition heals, that region must catch
// up without flooding the store or the network.
test('two regions partitioned for five minutes keep serving, revert nothing, and soon agree again', t => {
  const simulation = new RegionSimulation(SIZE, 60)
  const { members } = simulation
  simulation.run(60 * SECOND)
  t.true(members.names.every(name => members.agree(name, 'alive')))
  const quiet = measure(simulation, 20 * SECOND)
  simulation.partitioned = true
  let [ownerless, foreign] = [0, 0]
  for (let version = 2; version <= 7; version++) {
    simulation.platform = { version, parts: [`part-${version}`], body: {} }
    simulation.run(PARTITION / 6, () => {
      for (const name of members.names) {
        for (const server of simulation.servers.filter(({ region }) => region === simulation.findRegion(name))) {
          const owner = simulation.findOwner(name, server.name)
          if (owner === undefined) ownerless++
          else if (simulation.findRegion(owner) !== server.region) foreign++
        }
      }
    })
  }
  t.deepEqual([ownerless, foreign], [0, 0], 'servers without an owner, or with one that cannot reach them')
  const north = members.names.filter(name => simulation.findRegion(name) === 'north')
  t.true(members.names.every(name => simulation.acted.get(name)!.at(-1) === (north.includes(name) ? 7 : 1)))
  t.true(members.names.every(name => simulation.listLive(name).length === SIZE / 2))
  const healed = heal(simulation)
  t.log(JSON.stringify({ quiet, ...healed }))
  t.true(members.names.every(name => isSorted(simulation.acted.get(name)!)))
  t.true(healed.configured > 0 && healed.configured <= 15 * SECOND, `the last daemon acted on the newest version after ${healed.configured} ms`)
  t.true(healed.whole > 0 && healed.whole <= 60 * SECOND, `all saw all after ${healed.whole} ms`)
  t.true(healed.calls <= quiet.calls * 3 + SIZE, `${healed.calls} calls of the platform in a minute, ${quiet.calls} in 20 quiet seconds`)
  t.true(healed.worstSecond <= 5_000 * SIZE, `${healed.worstSecond} bytes in the worst second`)
})

function measure (simulation: RegionSimulation, time: number): { readonly calls: number, readonly bytes: number } {
  const [calls, bytes] = [simulation.calls, simulation.members.bytes + simulation.versionBytes]
  simulation.run(time)
  return { calls: simulation.calls - calls, bytes: simulation.members.bytes + simulation.versionBytes - bytes }
}

/** Measures the minute after the partition; times in ms, 0 for never. */
function heal (simulation: RegionSimulation): { readonly configured: number, readonly whole: number, readonly calls: number, readonly worstSecond: number } {
  const { members } = simulation
  const [start, calls] = [members.now, simulation.calls]
  let [configured, whole, worstSecond] = [0, 0, 0]
  simulation.partitioned = false
  while (members.now < start + 60 * SECOND) {
    const before = members.bytes + simulation.versionBytes
    simulation.run(SECOND, () => {
      if (configured === 0 && members.names.every(name => simulation.acted.get(name)!.at(-1) === simulation.platform.version)) configured = members.now - start
      if (whole === 0 && members.names.every(name => members.agree(name, 'alive'))) whole = members.now - start
    })
    worstSecond = Math.max(worstSecond, members.bytes + simulation.versionBytes - before)
  }
  return { configured, whole, calls: simulation.calls - calls, worstSecond }
}

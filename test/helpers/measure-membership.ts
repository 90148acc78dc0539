// Prints the traffic, CPU share and detection time of membership per number of members; `--lost 63` stops 63 at once, not one:
// npx tsx --tsconfig tsconfig.run.json test/helpers/measure-membership.ts 6 48 380
import { parseArgs } from 'node:util'
import { MemberSimulation } from './simulate-members.js'

const WARM_UP = 300_000
const STEADY = 20_000
const OBSERVED = 40_000
const MS_PER_SECOND = 1_000

const { values, positionals } = parseArgs({ allowPositionals: true, options: { lost: { type: 'string', default: '1' } } })

for (const size of positionals.map(Number)) {
  const fleet = new MemberSimulation(size, { measure: true })
  fleet.run(WARM_UP)
  const whole = fleet.names.every(name => fleet.agree(name, 'alive'))
  const before = fleet.bytes
  const started = performance.now()
  fleet.run(STEADY)
  const spent = performance.now() - started
  const rate = (fleet.bytes - before) / size / (STEADY / MS_PER_SECOND)
  const died = fleet.now
  const atDeath = fleet.bytes
  let suspected = 0
  let dropped = 0
  let worstSecond = 0
  const lost = Array.from({ length: Number(values.lost) }, (_, i) => `entry-${i + 1}`)
  for (const name of lost) fleet.stopped.add(name)
  for (let second = 0; second < OBSERVED / MS_PER_SECOND; second++) {
    const bytes = fleet.bytes
    fleet.run(MS_PER_SECOND, () => {
      if (suspected === 0 && fleet.names.some(name => fleet.see(name, 'entry-1') === 'suspect')) suspected = fleet.now - died
      if (dropped === 0 && lost.every(name => fleet.agree(name, 'dead'))) dropped = fleet.now - died
    })
    worstSecond = Math.max(worstSecond, fleet.bytes - bytes)
  }
  console.log(JSON.stringify({
    members: size,
    whole,
    sentBytesPerSecond: Math.round(rate),
    sentBytesPerSecondAroundDeath: Math.round((fleet.bytes - atDeath) / size / (OBSERVED / MS_PER_SECOND)),
    sentBytesInWorstSecond: Math.round(worstSecond / fleet.names.length),
    lost: lost.length,
    coreShare: Number((spent / STEADY / size).toFixed(5)),
    suspectedAfter: suspected,
    droppedByAllAfter: dropped
  }))
}
